#pragma once
/// @file
/// Placement of job arrays and services. Used by the planner.

#include <cstddef>

#include "sched/planning_round.hpp"

namespace asterstair::sched {

/// Places as many of the job's waiting tasks as fit. Ranks random samples of the machines instead
/// of searching all of them, and draws further samples while tasks are waiting.
void place_array(PlanningRound& round, std::size_t job_index);

}  // namespace asterstair::sched
