#pragma once
/// @file
/// Ranks the machines that fit a job. Used by the planner.

#include <vector>

#include "sched/snapshot.hpp"

namespace asterstair::sched {

/// A machine with room for a job's tasks.
struct RankedMachine {
  std::size_t machine;  ///< Its index in the snapshot.
  double score;         ///< Its placement_score() in seconds; less is better.
  double waste;         ///< What using it wastes, among equal scores; less is better.
};

/// Returns the given machines in the order in which the job's tasks should use them: by score, then
/// by waste, then by index.
std::vector<RankedMachine> rank_machines(const Snapshot& snapshot, const PlanJob& planned,
                                         const std::vector<std::size_t>& machines);

}  // namespace asterstair::sched
