#pragma once
/// @file
/// Preemption: which tasks to stop for waiting jobs that found no room, as PROTOCOL's "Preemption"
/// allows. A pure function, like plan(); the leader calls it after plan() when jobs are left.

#include <vector>

#include "base/runtime.hpp"
#include "sched/snapshot.hpp"

namespace asterstair::sched {

/// Returns the refs of the preemption candidates to stop, in the order in which it was decided.
/// For a gang nothing is stopped unless all its tasks find room. Resources that are being freed
/// already count as free. Changes the snapshot's free resources and quotas, and adds to the plan's
/// steps.
std::vector<std::size_t> preempt(Snapshot& snapshot, Plan& plan,
                                 const std::vector<PreemptionCandidate>& candidates, Rng& rng);

}  // namespace asterstair::sched
