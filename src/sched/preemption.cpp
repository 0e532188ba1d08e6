#include "sched/preemption.hpp"

#include <algorithm>
#include <optional>
#include <queue>
#include <set>
#include <tuple>

#include "sched/constraints.hpp"
#include "sched/sampling.hpp"
#include "sched/score.hpp"

namespace asterstair::sched {
namespace {

// A step of planning looks at a machine; looking at a victim costs less.
constexpr std::size_t kCandidatesPerStep = 4;

// What a second of a task's time counts for.
double weight_of(const JobSpec& job) { return 1 + job.cpus + kCpusPerGpu * job.gpus; }

// Where the next task of a job could go, and what stopping others for it costs.
struct Offer {
  std::size_t machine = 0;
  double cost = 0;
  std::vector<std::size_t> stop;
  bool operator>(const Offer& o) const {
    return std::pair(cost, machine) > std::pair(o.cost, o.machine);
  }
};

// Makes room on one machine, task by task: what is free first, then the least work lost.
struct MakingRoom {
  std::size_t machine = 0;
  Resources free;
  std::vector<std::size_t> candidates;  // in the order in which they would be stopped
  std::size_t next = 0;
  double delay_cost = 0;  // of each task

  std::optional<Offer> offer(const JobSpec& job, const std::vector<PreemptionCandidate>& all) {
    Offer out{machine, delay_cost, {}};
    while (!fits(job, free)) {
      if (next == candidates.size()) return std::nullopt;
      const auto& v = all[candidates[next]];
      free.add(*v.job);
      out.cost += v.lost_work * weight_of(*v.job);
      out.stop.push_back(candidates[next++]);
    }
    free.add(job, -1);
    return out;
  }
};

// The cheapest offers for a job's tasks.
struct Choice {
  std::vector<Offer> offers;
  double cost = 0;

  bool better_than(const Choice& other) const {
    if (offers.size() != other.offers.size()) return offers.size() > other.offers.size();
    return cost < other.cost;
  }
};

class Preemption {
 public:
  Preemption(Snapshot& s, Plan& plan, const std::vector<PreemptionCandidate>& candidates, Rng& rng)
      : s_(s),
        plan_(plan),
        candidates_(candidates),
        rng_(rng),
        candidates_on_(s.machines.size()),
        stopped_(candidates.size(), false) {
    for (std::size_t v = 0; v < candidates.size(); ++v)
      candidates_on_[candidates[v].machine].push_back(v);
    for (auto& m : s_.machines) m.free.add(m.freeing);
  }

  std::vector<std::size_t> run() {
    for (const auto& [job_index, left] : plan_.unplaced) make_room_for(job_index, left);
    plan_.steps += looked_at_ / kCandidatesPerStep;
    return std::move(out_);
  }

 private:
  void make_room_for(std::size_t job_index, std::uint32_t left) {
    const auto& j = s_.jobs[job_index];
    const auto most = team_room(s_.teams[j.job->team], *j.job);
    if (most == 0 || (j.job->gang() && most < left)) return;
    const auto making = machines_to_make_room_on(job_index);
    const auto best = best_choice(j, making, std::min(left, most));
    if (j.job->gang() && best.offers.size() < left) return;
    for (const auto& offer : best.offers) bind(j, offer);
  }

  // Lower priority; or, for a job within its team's guarantee, what another team runs above its
  // own. A guarantee is used up by what the team has running already.
  bool may_stop(const PlanJob& j, const PreemptionCandidate& v) {
    if (v.job->priority < j.job->priority) return true;
    if (!j.guaranteed || v.job->team == j.job->team) return false;
    const auto& team = s_.teams[j.job->team];
    const auto& other = s_.teams[v.job->team];
    const bool within = team.used.cpus + j.job->cpus <= team.guaranteed_cpus + kRounding &&
                        team.used.gpus + j.job->gpus <= team.guaranteed_gpus + kRounding;
    const bool above_cpus =
        v.job->cpus > 0 && other.used.cpus - v.job->cpus >= other.guaranteed_cpus;
    const bool above_gpus =
        v.job->gpus > 0 && other.used.gpus - v.job->gpus >= other.guaranteed_gpus;
    return within && (above_cpus || above_gpus);
  }

  bool usable(std::size_t job_index, const PlanMachine& machine) const {
    const auto& j = s_.jobs[job_index];
    if (machine.reserved_for && *machine.reserved_for != job_index) return false;
    return allowed_on(*j.job, machine) && machine.type->fits(*j.job) > 0 &&
           zone_room(*j.job, j.in_zone, machine.zone) > 0 &&
           (j.avoid == nullptr || j.avoid->count(machine.ref) == 0);
  }

  std::vector<std::size_t> candidates_for(std::size_t job_index) {
    std::vector<std::size_t> out;
    for (std::size_t m = 0; m < s_.machines.size(); ++m) {
      if (usable(job_index, s_.machines[m])) out.push_back(m);
    }
    plan_.steps += s_.machines.size();
    const JobSpec& job = *s_.jobs[job_index].job;
    return out.size() > kSampleAbove && !job.one_zone ? sample_of(job, out) : out;
  }

  // A random sample, and with it every machine on which enough is being freed already: without
  // these each round would stop others, elsewhere, for the same waiting tasks.
  std::vector<std::size_t> sample_of(const JobSpec& job,
                                     const std::vector<std::size_t>& candidates) {
    std::vector<std::size_t> chosen, rest;
    for (const auto m : candidates) {
      const auto& machine = s_.machines[m];
      const bool being_freed = machine.freeing.cpus > 0 || machine.freeing.gpus > 0;
      (being_freed && fits(job, machine.free) ? chosen : rest).push_back(m);
    }
    std::sample(rest.begin(), rest.end(), std::back_inserter(chosen), kSampleSize, rng_);
    return chosen;
  }

  std::vector<MakingRoom> machines_to_make_room_on(std::size_t job_index) {
    const auto& j = s_.jobs[job_index];
    std::vector<MakingRoom> out;
    for (const auto m : candidates_for(job_index)) {
      const auto& machine = s_.machines[m];
      // What is fetched first delays the start: counted like work lost.
      const double delay = start_delay(j.job->image_gb, machine.has_image(j.job->image)).count();
      MakingRoom r{m, machine.free, stoppable_on(j, m), 0, delay * weight_of(*j.job)};
      if (r.candidates.empty() && !fits(*j.job, r.free)) continue;
      looked_at_ += r.candidates.size();
      out.push_back(std::move(r));
    }
    return out;
  }

  // Lowest priority first, then the least work lost.
  std::vector<std::size_t> stoppable_on(const PlanJob& j, std::size_t machine) {
    std::vector<std::size_t> out;
    for (const auto v : candidates_on_[machine]) {
      if (!stopped_[v] && may_stop(j, candidates_[v])) out.push_back(v);
    }
    std::sort(out.begin(), out.end(), [&](std::size_t a, std::size_t b) {
      const auto &x = candidates_[a], &y = candidates_[b];
      return std::tuple(x.job->priority, x.lost_work, a) <
             std::tuple(y.job->priority, y.lost_work, b);
    });
    return out;
  }

  Choice best_choice(const PlanJob& j, const std::vector<MakingRoom>& making,
                     std::uint32_t wanted) {
    if (!j.job->one_zone || !j.in_zone.empty()) return choose(j, making, nullptr, wanted);
    std::set<std::string> zones;
    for (const auto& r : making) zones.insert(s_.machines[r.machine].zone);
    Choice best;
    for (const auto& z : zones) {
      auto choice = choose(j, making, &z, wanted);
      if (choice.better_than(best)) best = std::move(choice);
    }
    return best;
  }

  // The cheapest offers for `wanted` tasks on machines of the zone, or of any.
  Choice choose(const PlanJob& j, std::vector<MakingRoom> making, const std::string* zone,
                std::uint32_t wanted) {
    Choice out;
    std::priority_queue<Offer, std::vector<Offer>, std::greater<>> queue;
    std::map<std::size_t, MakingRoom*> by_machine;
    for (auto& r : making) {
      if (zone != nullptr && s_.machines[r.machine].zone != *zone) continue;
      by_machine[r.machine] = &r;
      if (auto o = r.offer(*j.job, candidates_)) queue.push(std::move(*o));
    }
    auto in_zone = j.in_zone;
    while (wanted > 0 && !queue.empty()) {
      Offer o = queue.top();
      queue.pop();
      const auto& z = s_.machines[o.machine].zone;
      if (zone_room(*j.job, in_zone, z) == 0) continue;
      ++in_zone[z];
      --wanted;
      if (auto more = by_machine[o.machine]->offer(*j.job, candidates_))
        queue.push(std::move(*more));
      out.cost += o.cost;
      out.offers.push_back(std::move(o));
    }
    return out;
  }

  void bind(const PlanJob& j, const Offer& offer) {
    auto& machine = s_.machines[offer.machine];
    for (const auto v : offer.stop) {
      const auto& candidate = candidates_[v];
      // Judged anew: what was stopped before counts.
      if (!may_stop(j, candidate)) continue;
      stopped_[v] = true;
      machine.free.add(*candidate.job);
      s_.teams[candidate.job->team].used.add(*candidate.job, -1);
      out_.push_back(candidate.ref);
    }
    machine.free.add(*j.job, -1);
    s_.teams[j.job->team].used.add(*j.job);
  }

  Snapshot& s_;
  Plan& plan_;
  const std::vector<PreemptionCandidate>& candidates_;
  Rng& rng_;
  std::vector<std::vector<std::size_t>> candidates_on_;  // by machine
  std::vector<bool> stopped_;
  std::vector<std::size_t> out_;
  std::size_t looked_at_ = 0;
};

}  // namespace

std::vector<std::size_t> preempt(Snapshot& s, Plan& plan,
                                 const std::vector<PreemptionCandidate>& candidates, Rng& rng) {
  if (candidates.empty()) return {};
  return Preemption(s, plan, candidates, rng).run();
}

}  // namespace asterstair::sched
