#pragma once
/// @file
/// Reservations: machines that are kept for a job that found no room. Used by the planner.

#include <cstddef>

#include "sched/planning_round.hpp"

namespace asterstair::sched {

/// Reserves machines for a job that found no room, so that smaller jobs behind it do not take every
/// place as it comes free (starvation). Does nothing for a job that has only just arrived or that
/// its team's quota does not allow.
void reserve_machines(PlanningRound& round, std::size_t job_index);

}  // namespace asterstair::sched
