#include "leader/scheduling_loop.hpp"

#include <algorithm>

#include "base/log.hpp"
#include "sched/constraints.hpp"
#include "sched/planner.hpp"
#include "sched/preemption.hpp"

namespace asterstair::leader {
namespace {

using cluster::AttemptId;
using cluster::Job;
using cluster::JobTable;
using cluster::Machine;
using cluster::TaskAttempt;

// Runs are at least kMinRunInterval apart, and use at most kMaxProcessorShare of the processor time
// that the settings allow. kStepCost is the processor time of a step of the plan, as measured with
// tests/load/profile.sh.
constexpr Duration kMinRunInterval = 60ms;
constexpr Duration kStepCost = 40ns;
constexpr double kMaxProcessorShare = 0.25;
constexpr auto kPreemptionInterval = 300ms;
// Low bits of an attempt number, which hold the counter. The high bits hold the fencing token.
constexpr unsigned kAttemptCounterBits = 24;

}  // namespace

void SchedulingLoop::run_if_due() {
  if (context_.now() >= next_run_) run();
}

void SchedulingLoop::run_if_requested() {
  if (!trigger_.requested()) return;
  const auto now = context_.now();
  if (now >= next_run_) {
    run();
  } else if (!timer_set_) {
    timer_set_ = true;
    context_.runtime.after(next_run_ - now, context_.while_alive([this] {
      timer_set_ = false;
      if (trigger_.requested()) run();
    }));
  }
}

void SchedulingLoop::run() {
  if (!recovery_.view_is_fresh() || !context_.election.lease_valid()) return;
  if (!context_.catalog.known()) return;
  trigger_.clear();
  const auto now = context_.now();
  // While the cluster has enough room, most runs have nothing to place. They skip the machines.
  if (!snapshots_.any_placeable()) {
    snapshots_.update_idle_times();
    demand_.clear();
    next_run_ = now + kMinRunInterval;
    return;
  }
  auto input = snapshots_.build();
  const auto avoided = avoided_machines(input);
  for (std::size_t job = 0; job < input.jobs.size(); ++job) {
    if (!avoided[job].empty()) input.snapshot.jobs[job].avoided_machines = &avoided[job];
  }
  auto plan = sched::plan(input.snapshot, context_.runtime.rng());
  std::map<std::string, std::uint64_t> gang_attempts;
  for (const auto& placement : plan.placements) bind(input, placement, gang_attempts);
  update_demand(input, plan);
  if (!plan.unplaced.empty() && now >= next_preemption_) {
    next_preemption_ = now + kPreemptionInterval;
    preempt(input, plan);
  }
  const Seconds cost(kStepCost * static_cast<std::int64_t>(plan.steps));
  const auto spacing = to_duration(cost / context_.settings.cpu_share / kMaxProcessorShare);
  next_run_ = now + std::max(kMinRunInterval, spacing);
}

// A job avoids the machines on which its tasks failed. Once there are kMinMachinesForFaultyJob of
// them, the job itself is the likely cause and avoids none.
SchedulingLoop::AvoidedMachines SchedulingLoop::avoided_machines(const SchedulingInput& input) {
  AvoidedMachines avoided(input.jobs.size());
  for (std::size_t job = 0; job < input.jobs.size(); ++job) {
    const auto& failed_on = input.jobs[job]->failed_on;
    if (failed_on.empty() || failed_on.size() >= WorkerHealth::kMinMachinesForFaultyJob) continue;
    for (std::size_t machine = 0; machine < input.machines.size(); ++machine) {
      if (failed_on.count(input.machines[machine]->id) != 0) avoided[job].insert(machine);
    }
  }
  return avoided;
}

// Combines the fencing token and a counter, so that no leader uses a number twice.
std::uint64_t SchedulingLoop::next_attempt() {
  return (context_.token << kAttemptCounterBits) | ++attempt_counter_;
}

// Tasks of a gang share one attempt number.
void SchedulingLoop::bind(const SchedulingInput& input, const sched::Placement& placement,
                          std::map<std::string, std::uint64_t>& gang_attempts) {
  Job& job = *input.jobs[placement.job];
  Machine& machine = *input.machines[placement.machine];
  machine.usage_stale = true;
  if (job.age_when_assigned == Seconds(0)) job.age_when_assigned = timing_.age(job);
  for (std::uint32_t n = 0; n < placement.tasks; ++n) {
    std::uint64_t number = 0;
    if (job.spec->gang()) {
      auto& gang_attempt = gang_attempts[job.spec->id];
      if (gang_attempt == 0) gang_attempt = next_attempt();
      number = gang_attempt;
    } else {
      number = next_attempt();
    }
    const auto index = JobTable::take_waiting(job);
    job.assignments[index] = {machine.id, number};
    TaskAttempt attempt;
    attempt.task = {job.spec->id, index};
    attempt.attempt = number;
    attempt.job = job.spec;
    machine.attempts.emplace(AttemptId{number, attempt.task}, std::move(attempt));
  }
}

void SchedulingLoop::update_demand(const SchedulingInput& input, const sched::Plan& plan) {
  const auto& objectives = context_.settings.objectives;
  const bool urgent =
      std::any_of(objectives.begin(), objectives.end(),
                  [](const Objective& objective) { return objective.kind == "guarantee"; });
  demand_.clear();
  for (const auto& unplaced : plan.unplaced) {
    const auto& planned = input.snapshot.jobs[unplaced.first];
    const Job& job = *input.jobs[unplaced.first];
    const auto& team = input.snapshot.teams.at(planned.job->team);
    const auto tasks = std::min(job.waiting.size(), sched::tasks_within_quota(team, *planned.job));
    if (tasks < 1) continue;
    demand_.push_back({job.spec, tasks, planned.remaining, planned.slack,
                       urgent && planned.guaranteed, planned.overdue, planned.in_zone});
  }
}

// Run time that the task would lose if it were stopped now: the time to save a checkpoint, or
// without checkpoints its whole run time.
Seconds SchedulingLoop::work_lost_by_stop(const TaskAttempt& attempt) const {
  if (!attempt.running_since) return Seconds(0);
  if (attempt.job->checkpoint_interval.count() > 0) return attempt.job->checkpoint_time;
  return Seconds(context_.now() - *attempt.running_since);
}

// An attempt whose start command is in flight is a candidate too, because a machine with many short
// tasks always has one. It is stopped in the response to the first heartbeat that reports it.
std::vector<sched::PreemptionCandidate> SchedulingLoop::preemption_candidates(
    const SchedulingInput& input, const sched::Plan& plan, std::vector<CandidateRef>& refs) const {
  // Tasks of the highest unplaced priority or above can be preempted only by guaranteed work.
  auto highest = Priority::Low;
  bool any_guaranteed = false;
  for (const auto& [job, tasks] : plan.unplaced) {
    highest = std::max(highest, input.snapshot.jobs[job].job->priority);
    any_guaranteed = any_guaranteed || input.snapshot.jobs[job].guaranteed;
  }
  std::vector<sched::PreemptionCandidate> candidates;
  for (std::size_t index = 0; index < input.snapshot.machines.size(); ++index) {
    Machine& machine = *input.machines[input.snapshot.machines[index].ref];
    for (auto& [id, attempt] : machine.attempts) {
      if (!attempt.holds_resources() || !attempt.job || attempt.stopping()) continue;
      if (!any_guaranteed && attempt.job->priority >= highest) continue;
      if (attempt.job->gang() && attempt.job->tasks > 1) continue;
      candidates.push_back(
          {index, refs.size(), attempt.job.get(), work_lost_by_stop(attempt).count()});
      refs.emplace_back(&machine, &attempt);
    }
  }
  return candidates;
}

void SchedulingLoop::preempt(SchedulingInput& input, sched::Plan& plan) {
  std::vector<CandidateRef> refs;
  const auto candidates = preemption_candidates(input, plan, refs);
  plan.steps += candidates.size();
  std::vector<DirectStop> stops;
  for (const auto ref : sched::preempt(input.snapshot, plan, candidates, context_.runtime.rng())) {
    const auto& [machine, attempt] = refs[ref];
    log::debug("task {}/{} on {} is preempted", attempt->task.job, attempt->task.index,
               machine->id);
    const Seconds grace = gangs_.checkpoint_grace(*attempt->job);
    machine->request_stop(*attempt, grace);
    // Sends the stop command directly, because other work waits for the resources.
    if (attempt->phase == TaskAttempt::Phase::Observed) {
      stops.push_back({machine->id, attempt->task, attempt->attempt, grace});
    }
  }
  direct_commands_.send(stops, DirectCommandDispatcher::Response::Apply);
}

}  // namespace asterstair::leader
