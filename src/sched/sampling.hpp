#pragma once
/// @file
/// Random samples of machines, searched instead of all machines in large clusters. Called by the
/// planner and by preemption.

#include <cstddef>
#include <vector>

#include "base/runtime.hpp"

namespace asterstair::sched {

/// Number of machines up to which all are searched. Above it, a random sample is searched.
inline constexpr std::size_t kSampleThreshold = 96;

/// Number of machines in a sample.
inline constexpr std::size_t kSampleSize = 64;

/// Removes kSampleSize random elements from `from` and returns them; removes all if there are at
/// most kSampleThreshold. The sample and the remaining elements keep their order.
std::vector<std::size_t> take_sample(std::vector<std::size_t>& from, Rng& rng);

}  // namespace asterstair::sched
