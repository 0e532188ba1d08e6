#pragma once
/// @file
/// Random samples of machines that replace a full search where many machines would do. Called by
/// the planner and by preemption.

#include <cstddef>
#include <vector>

#include "base/runtime.hpp"

namespace asterstair::sched {

/// Number of machines up to which all are searched; above it, a random sample is.
inline constexpr std::size_t kSampleAbove = 96;

/// Number of machines in a sample.
inline constexpr std::size_t kSampleSize = 64;

/// Takes kSampleSize random elements out of `from`, or all if there are no more than kSampleAbove.
/// Both the sample and the rest keep their order.
std::vector<std::size_t> take_sample(std::vector<std::size_t>& from, Rng& rng);

}  // namespace asterstair::sched
