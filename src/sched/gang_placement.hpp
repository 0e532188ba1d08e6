#pragma once
/// @file
/// Placement of gangs (gang scheduling). Used by the planner.

#include <cstddef>

#include "sched/planning_round.hpp"

namespace asterstair::sched {

/// Places all waiting tasks of the gang, or none. Tries a random sample of the machines first, then
/// all machines. The machines in the gang's last zone are tried first if at least
/// kMinSameZoneMachines of them have room for a task (paper VI-D).
void place_gang(PlanningRound& round, std::size_t job_index);

}  // namespace asterstair::sched
