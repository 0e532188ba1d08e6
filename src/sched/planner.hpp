#pragma once
// Places waiting tasks on machines: a pure function of a snapshot.

#include "base/runtime.hpp"
#include "sched/snapshot.hpp"

namespace asterstair::sched {

// Places the jobs in the order of precedes(). Changes the snapshot's free room and use as it
// places, and keeps machines for jobs that found no room.
Plan plan(Snapshot& snapshot, Rng& rng);

}  // namespace asterstair::sched
