#pragma once
/// @file
/// State of one planning round, shared by array placement, gang placement and reservations. Used by
/// the planner only.

#include <cstdint>
#include <vector>

#include "base/runtime.hpp"
#include "sched/accelerator_reserve.hpp"
#include "sched/machine_groups.hpp"
#include "sched/ranking.hpp"
#include "sched/snapshot.hpp"

namespace asterstair::sched {

/// Owns the working state of plan() and applies each decision to the snapshot and to the plan. The
/// caller owns the snapshot, the random number generator and the plan, which must outlive the
/// round.
class PlanningRound {
 public:
  /// Groups the snapshot's machines and counts their free accelerators.
  PlanningRound(Snapshot& snapshot, Rng& rng, Plan& plan);

  /// Returns the job at the index. Placing tasks updates its waiting tasks and its tasks by zone.
  PlanJob& job(std::size_t job_index) { return snapshot_.jobs[job_index]; }

  /// Returns the machine at the index, with its remaining free resources.
  const PlanMachine& machine(std::size_t machine_index) const {
    return snapshot_.machines[machine_index];
  }

  /// Returns the snapshot's machines in groups.
  const std::vector<MachineGroup>& groups() const { return groups_; }

  /// Returns the random number generator that samples are drawn with.
  Rng& rng() { return rng_; }

  /// Returns the indexes of the machines with room for at least one task of the job. Excludes
  /// machines that are reserved for another job or on which the job failed, unless it is overdue.
  std::vector<std::size_t> machines_with_room(std::size_t job_index);

  /// Returns the given machines, ranked for the job.
  std::vector<RankedMachine> rank(const PlanJob& planned,
                                  const std::vector<std::size_t>& machines) const {
    return rank_machines(snapshot_, planned, machines);
  }

  /// Returns how many more tasks of the job its team's quota allows.
  std::uint32_t tasks_within_quota(const PlanJob& planned);

  /// Returns how many tasks of a job array fit on the machine; see
  /// AcceleratorReserve::tasks_that_fit_on().
  std::uint32_t array_tasks_that_fit(const PlanJob& planned, const PlanMachine& machine) const {
    return accelerators_.tasks_that_fit_on(planned, machine);
  }

  /// Places `tasks` tasks of the job on the machine: updates the machine's free resources, the use
  /// of the team's quota and the job's waiting tasks, and adds a placement to the plan.
  void place(PlanJob& planned, std::size_t machine_index, std::uint32_t tasks);

  /// Reserves the machine for the job until the end of the round, including preempt().
  void reserve(std::size_t machine_index, std::size_t job_index) {
    snapshot_.machines[machine_index].reserved_for = job_index;
  }

  /// Adds the number of examined machines to Plan::steps.
  void count_examined(std::size_t machines) { plan_.steps += machines; }

 private:
  Snapshot& snapshot_;
  Rng& rng_;
  Plan& plan_;
  std::vector<MachineGroup> groups_;
  AcceleratorReserve accelerators_;
};

}  // namespace asterstair::sched
