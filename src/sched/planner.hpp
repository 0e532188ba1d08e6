#pragma once
/// @file
/// The planner: bin packing of waiting tasks onto machines. It does no I/O and reads no clock; its
/// outcome depends on the snapshot and the random numbers alone. The leader calls it in each round
/// of planning.

#include "base/runtime.hpp"
#include "sched/snapshot.hpp"

namespace asterstair::sched {

/// Places the snapshot's jobs on its machines in the order of precedes(), and reserves machines for
/// the first jobs that find no room. Changes the snapshot's free resources, quotas, waiting tasks
/// and reservations as it decides; preempt() continues from there.
Plan plan(Snapshot& snapshot, Rng& rng);

}  // namespace asterstair::sched
