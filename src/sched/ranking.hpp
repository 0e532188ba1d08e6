#pragma once
/// @file
/// Ranks the machines that fit a job. Used by the planner.

#include <vector>

#include "sched/snapshot.hpp"

namespace asterstair::sched {

/// A machine with room for a job's tasks.
struct RankedMachine {
  std::size_t machine;  ///< Its index in the snapshot.
  double score;         ///< Its placement_score() in seconds; lower is better.
  double penalty;       ///< Breaks ties between equal scores; lower is better.
};

/// Returns the given machines in the order in which the job's tasks should use them: by score, then
/// by penalty, then by index. The penalty is highest for machines with accelerators if the job
/// needs none, then for on-demand machines if the job may use spot machines, then for machines with
/// many free processors.
std::vector<RankedMachine> rank_machines(const Snapshot& snapshot, const PlanJob& planned,
                                         const std::vector<std::size_t>& machines);

}  // namespace asterstair::sched
