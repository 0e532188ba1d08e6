#pragma once
/// @file
/// Groups of machines for which placement constraints are decided once. Used by the planner.

#include <string>
#include <vector>

#include "sched/snapshot.hpp"

namespace asterstair::sched {

/// Machines of one type, zone and kind. What a job may use is the same for all of them.
struct MachineGroup {
  const MachineType* type;            ///< Their type; never null.
  const std::string* zone;            ///< Their zone, owned by the first machine of the group.
  bool spot;                          ///< Whether they are spot machines.
  std::vector<std::size_t> machines;  ///< Their indexes in the snapshot, ascending.
};

/// Returns the machines in groups, in the order of each group's first machine. The groups refer to
/// `machines`.
std::vector<MachineGroup> group_machines(const std::vector<PlanMachine>& machines);

/// Returns whether the job may place at least one more task on machines of the group, their free
/// resources aside.
bool allowed_on(const PlanJob& planned, const MachineGroup& group);

}  // namespace asterstair::sched
