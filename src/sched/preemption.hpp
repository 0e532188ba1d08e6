#pragma once
/// @file
/// Preemption: selects tasks to stop for waiting jobs that did not fit (PROTOCOL, "Preemption").
/// Does no I/O and reads no clock, like plan(). The leader calls it after plan() if jobs are
/// unplaced.

#include <vector>

#include "base/runtime.hpp"
#include "sched/snapshot.hpp"

namespace asterstair::sched {

/// Returns the refs of the preemption candidates to stop, in the order of the decisions. Stops
/// nothing for a gang unless that makes room for all its waiting tasks. Resources that are already
/// being freed count as free. Updates the snapshot's free resources and quota use, and Plan::steps.
std::vector<std::size_t> preempt(Snapshot& snapshot, Plan& plan,
                                 const std::vector<PreemptionCandidate>& candidates, Rng& rng);

}  // namespace asterstair::sched
