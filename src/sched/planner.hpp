#pragma once
/// @file
/// The planner: bin packing of waiting tasks onto machines. It does no I/O and reads no clock: the
/// plan depends only on the snapshot and the random number generator. The leader calls it in each
/// planning round.

#include "base/runtime.hpp"
#include "sched/snapshot.hpp"

namespace asterstair::sched {

/// Places the snapshot's jobs on its machines in the order of precedes(), and reserves machines for
/// the first jobs that do not fit. Updates the free resources, the quota use, the waiting tasks and
/// the reservations in the snapshot, which is then the input of preempt().
Plan plan(Snapshot& snapshot, Rng& rng);

}  // namespace asterstair::sched
