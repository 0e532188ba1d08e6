#pragma once
/// @file
/// Reservations: machines that are reserved for a job that did not fit. Used by the planner.

#include <cstddef>

#include "sched/planning_round.hpp"

namespace asterstair::sched {

/// Reserves machines for a job that did not fit. Without a reservation, smaller jobs later in the
/// order would take resources as they are freed, and the job would starve. Does nothing if the job
/// has just arrived or exceeds its team's quota.
void reserve_machines(PlanningRound& round, std::size_t job_index);

}  // namespace asterstair::sched
