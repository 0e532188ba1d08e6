#pragma once
// Samples of machines in place of full searches, where many would do.

#include <cstddef>
#include <vector>

#include "base/runtime.hpp"

namespace asterstair::sched {

// Above this many fitting machines a job is placed on a random sample of them.
inline constexpr std::size_t kSampleAbove = 96, kSampleSize = 64;

// Takes kSampleSize machines at random out of the list; all if they are no more than kSampleAbove.
std::vector<std::size_t> take_sample(std::vector<std::size_t>& from, Rng& rng);

}  // namespace asterstair::sched
