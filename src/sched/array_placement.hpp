#pragma once
/// @file
/// Placement of job arrays and services. Used by the planner.

#include <cstddef>

#include "sched/planning_round.hpp"

namespace asterstair::sched {

/// Places as many waiting tasks of the job as find room. It ranks random samples of the machines in
/// place of a full search, and takes further samples while tasks are left.
void place_array(PlanningRound& round, std::size_t job_index);

}  // namespace asterstair::sched
