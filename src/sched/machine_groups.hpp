#pragma once
/// @file
/// Groups of machines for which placement constraints are checked once. Used by the planner.

#include <string>
#include <vector>

#include "sched/snapshot.hpp"

namespace asterstair::sched {

/// Machines of the same type and zone that are all spot or all on-demand. Placement constraints
/// allow either all of them for a job or none.
struct MachineGroup {
  const MachineType* type;            ///< Their type; never null.
  const std::string* zone;            ///< Their zone, owned by the first machine of the group.
  bool spot;                          ///< Whether they are spot machines.
  std::vector<std::size_t> machines;  ///< Their indexes in the snapshot, ascending.
};

/// Groups the machines. Groups are in the order of their first machine. They point into `machines`,
/// which must outlive them.
std::vector<MachineGroup> group_machines(const std::vector<PlanMachine>& machines);

/// Returns whether the constraints of the job allow at least one more task on the group's machines.
/// Free resources are not considered.
bool allowed_on(const PlanJob& planned, const MachineGroup& group);

}  // namespace asterstair::sched
