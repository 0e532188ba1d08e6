#include "sched/planning_round.hpp"

#include "sched/constraints.hpp"

namespace asterstair::sched {
namespace {

// Returns whether the machine is reserved for another job or avoided because the job failed on it.
// Overdue jobs may use such machines.
bool is_excluded(const PlanJob& planned, std::size_t job_index, const PlanMachine& machine) {
  if (planned.overdue) return false;
  if (machine.reserved_for && *machine.reserved_for != job_index) return true;
  return planned.avoided_machines != nullptr && planned.avoided_machines->count(machine.ref) != 0;
}

}  // namespace

PlanningRound::PlanningRound(Snapshot& snapshot, Rng& rng, Plan& plan)
    : snapshot_(snapshot),
      rng_(rng),
      plan_(plan),
      groups_(group_machines(snapshot.machines)),
      accelerators_(snapshot) {}

std::vector<std::size_t> PlanningRound::machines_with_room(std::size_t job_index) {
  const PlanJob& planned = snapshot_.jobs[job_index];
  std::vector<std::size_t> found;
  for (const MachineGroup& group : groups_) {
    if (!allowed_on(planned, group)) continue;
    count_examined(group.machines.size());
    for (const std::size_t index : group.machines) {
      const PlanMachine& machine = snapshot_.machines[index];
      if (!fits(*planned.job, machine.free)) continue;
      if (!is_excluded(planned, job_index, machine)) found.push_back(index);
    }
  }
  return found;
}

std::uint32_t PlanningRound::tasks_within_quota(const PlanJob& planned) {
  return sched::tasks_within_quota(snapshot_.teams[planned.job->team], *planned.job);
}

void PlanningRound::place(PlanJob& planned, std::size_t machine_index, std::uint32_t tasks) {
  const JobSpec& spec = *planned.job;
  PlanMachine& machine = snapshot_.machines[machine_index];
  accelerators_.remove(machine.free);
  machine.free.add(spec, -static_cast<double>(tasks));
  accelerators_.add(machine.free);
  snapshot_.teams[spec.team].used.add(spec, tasks);
  planned.in_zone[machine.zone] += tasks;
  planned.waiting -= tasks;
  plan_.placements.push_back({planned.ref, machine.ref, tasks});
}

}  // namespace asterstair::sched
