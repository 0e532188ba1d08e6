#pragma once
// What to stop for waiting work that found no room, as PROTOCOL's "Preemption" allows.

#include <vector>

#include "base/runtime.hpp"
#include "sched/snapshot.hpp"

namespace asterstair::sched {

// Returns the refs of the preemption candidates to stop. For a gang nothing is stopped unless all
// its tasks find room. Room that is being freed already counts as free.
std::vector<std::size_t> preempt(Snapshot& snapshot, Plan& plan,
                                 const std::vector<PreemptionCandidate>& candidates, Rng& rng);

}  // namespace asterstair::sched
