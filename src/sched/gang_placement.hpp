#pragma once
/// @file
/// Placement of gangs (gang scheduling). Used by the planner.

#include <cstddef>

#include "sched/planning_round.hpp"

namespace asterstair::sched {

/// Places all waiting tasks of the gang, or none. It tries a random sample of the machines first,
/// and all machines if the gang does not fit there. Machines in the gang's last zone go first when
/// at least kSameZoneMinimum of them fit (paper VI-D).
void place_gang(PlanningRound& round, std::size_t job_index);

}  // namespace asterstair::sched
