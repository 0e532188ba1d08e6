#include "sched/preemption.hpp"

#include <algorithm>
#include <iterator>
#include <random>
#include <tuple>
#include <utility>

#include "sched/constraints.hpp"
#include "sched/preemption_offers.hpp"
#include "sched/sampling.hpp"
#include "sched/score.hpp"

namespace asterstair::sched {
namespace {

// Number of candidates that cost as much to examine as one machine, which counts as one step.
constexpr std::size_t kCandidatesPerStep = 4;

// Returns whether the team stays within its guarantee with one more task of the job. All tasks that
// the team is running count against the guarantee.
bool within_guarantee(const TeamState& team, const JobSpec& job) {
  return team.used.cpus + job.cpus <= team.guaranteed_cpus + kRoundingTolerance &&
         team.used.gpus + job.gpus <= team.guaranteed_gpus + kRoundingTolerance;
}

// Returns whether the team still uses its full guarantee of processors or of accelerators after one
// task of the job is stopped.
bool above_guarantee(const TeamState& team, const JobSpec& job) {
  const bool above_cpus = job.cpus > 0 && team.used.cpus - job.cpus >= team.guaranteed_cpus;
  const bool above_gpus = job.gpus > 0 && team.used.gpus - job.gpus >= team.guaranteed_gpus;
  return above_cpus || above_gpus;
}

class PreemptionRound {
 public:
  PreemptionRound(Snapshot& snapshot, Plan& plan,
                  const std::vector<PreemptionCandidate>& candidates, Rng& rng)
      : snapshot_(snapshot),
        plan_(plan),
        candidates_(candidates),
        rng_(rng),
        candidates_on_(snapshot.machines.size()),
        stopped_(candidates.size(), false) {
    for (std::size_t index = 0; index < candidates.size(); ++index) {
      candidates_on_[candidates[index].machine].push_back(index);
    }
    for (PlanMachine& machine : snapshot_.machines) machine.free.add(machine.freeing);
  }

  std::vector<std::size_t> run() {
    for (const auto& [job_index, tasks] : plan_.unplaced) make_room_for(job_index, tasks);
    plan_.steps += candidates_examined_ / kCandidatesPerStep;
    return std::move(to_stop_);
  }

 private:
  void make_room_for(std::size_t job_index, std::uint32_t unplaced) {
    const PlanJob& planned = snapshot_.jobs[job_index];
    const bool gang = planned.job->gang();
    const auto within_quota = tasks_within_quota(snapshot_.teams[planned.job->team], *planned.job);
    if (within_quota == 0 || (gang && within_quota < unplaced)) return;
    const std::vector<MachineOffers> machines = machine_offers(job_index);
    const PreemptionChoice choice =
        choose_offers(snapshot_, planned, machines, candidates_, std::min(unplaced, within_quota));
    if (gang && choice.offers.size() < unplaced) return;
    for (const PreemptionOffer& offer : choice.offers) accept(planned, offer);
  }

  // A job may preempt tasks of lower priority. A job within its team's guarantee may also preempt
  // tasks that another team runs above its own guarantee.
  bool may_preempt(const PlanJob& planned, const PreemptionCandidate& candidate) {
    if (candidate.job->priority < planned.job->priority) return true;
    if (!planned.guaranteed || candidate.job->team == planned.job->team) return false;
    return within_guarantee(snapshot_.teams[planned.job->team], *planned.job) &&
           above_guarantee(snapshot_.teams[candidate.job->team], *candidate.job);
  }

  bool is_usable(std::size_t job_index, const PlanMachine& machine) const {
    const PlanJob& planned = snapshot_.jobs[job_index];
    const JobSpec& spec = *planned.job;
    if (machine.reserved_for && *machine.reserved_for != job_index) return false;
    return allowed_on(spec, machine) && machine.type->max_tasks(spec) > 0 &&
           tasks_allowed_in_zone(spec, planned.in_zone, machine.zone) > 0 &&
           (planned.avoided_machines == nullptr ||
            planned.avoided_machines->count(machine.ref) == 0);
  }

  std::vector<std::size_t> usable_machines(std::size_t job_index) {
    std::vector<std::size_t> usable;
    for (std::size_t index = 0; index < snapshot_.machines.size(); ++index) {
      if (is_usable(job_index, snapshot_.machines[index])) usable.push_back(index);
    }
    plan_.steps += snapshot_.machines.size();
    const JobSpec& spec = *snapshot_.jobs[job_index].job;
    return usable.size() > kSampleThreshold && !spec.one_zone ? sample_machines(spec, usable)
                                                              : usable;
  }

  // Returns a random sample and, in addition, every machine where the resources being freed make
  // room for a task. Without these machines, each round would stop tasks on other machines for the
  // same waiting tasks.
  std::vector<std::size_t> sample_machines(const JobSpec& job,
                                           const std::vector<std::size_t>& usable) {
    std::vector<std::size_t> chosen;
    std::vector<std::size_t> rest;
    for (const std::size_t index : usable) {
      const PlanMachine& machine = snapshot_.machines[index];
      const bool being_freed = machine.freeing.cpus > 0 || machine.freeing.gpus > 0;
      (being_freed && fits(job, machine.free) ? chosen : rest).push_back(index);
    }
    std::sample(rest.begin(), rest.end(), std::back_inserter(chosen), kSampleSize, rng_);
    return chosen;
  }

  std::vector<MachineOffers> machine_offers(std::size_t job_index) {
    const PlanJob& planned = snapshot_.jobs[job_index];
    const JobSpec& spec = *planned.job;
    std::vector<MachineOffers> out;
    for (const std::size_t index : usable_machines(job_index)) {
      const PlanMachine& machine = snapshot_.machines[index];
      auto candidates = preemptible_on(planned, index);
      if (candidates.empty() && !fits(spec, machine.free)) continue;
      candidates_examined_ += candidates.size();
      // Fetching the image delays the start. The delay costs as much as the same amount of lost
      // work.
      const double delay = start_delay(spec.image_gb, machine.has_image(spec.image)).count();
      out.emplace_back(index, machine.free, std::move(candidates), delay * weight_per_second(spec));
    }
    return out;
  }

  // Returns the candidates on the machine that the job may preempt, ordered by priority (lowest
  // first), then by lost work (least first).
  std::vector<std::size_t> preemptible_on(const PlanJob& planned, std::size_t machine_index) {
    std::vector<std::size_t> out;
    for (const std::size_t index : candidates_on_[machine_index]) {
      if (!stopped_[index] && may_preempt(planned, candidates_[index])) out.push_back(index);
    }
    std::sort(out.begin(), out.end(), [&](std::size_t left, std::size_t right) {
      const PreemptionCandidate& first = candidates_[left];
      const PreemptionCandidate& second = candidates_[right];
      return std::tuple(first.job->priority, first.lost_work, left) <
             std::tuple(second.job->priority, second.lost_work, right);
    });
    return out;
  }

  void accept(const PlanJob& planned, const PreemptionOffer& offer) {
    PlanMachine& machine = snapshot_.machines[offer.machine];
    for (const std::size_t index : offer.to_stop) {
      const PreemptionCandidate& candidate = candidates_[index];
      // Checked again, because the tasks already stopped have changed the use of the quotas.
      if (!may_preempt(planned, candidate)) continue;
      stopped_[index] = true;
      machine.free.add(*candidate.job);
      snapshot_.teams[candidate.job->team].used.add(*candidate.job, -1);
      to_stop_.push_back(candidate.ref);
    }
    machine.free.add(*planned.job, -1);
    snapshot_.teams[planned.job->team].used.add(*planned.job);
  }

  Snapshot& snapshot_;
  Plan& plan_;
  const std::vector<PreemptionCandidate>& candidates_;
  Rng& rng_;
  std::vector<std::vector<std::size_t>> candidates_on_;  // by machine index
  std::vector<bool> stopped_;                            // by candidate index
  std::vector<std::size_t> to_stop_;                     // refs of candidates
  std::size_t candidates_examined_ = 0;
};

}  // namespace

std::vector<std::size_t> preempt(Snapshot& snapshot, Plan& plan,
                                 const std::vector<PreemptionCandidate>& candidates, Rng& rng) {
  if (candidates.empty()) return {};
  return PreemptionRound(snapshot, plan, candidates, rng).run();
}

}  // namespace asterstair::sched
