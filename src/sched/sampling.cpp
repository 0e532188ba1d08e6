#include "sched/sampling.hpp"

#include <random>

namespace asterstair::sched {

std::vector<std::size_t> take_sample(std::vector<std::size_t>& from, Rng& rng) {
  std::vector<std::size_t> sample;
  if (from.size() <= kSampleThreshold) {
    sample.swap(from);
    return sample;
  }
  std::vector<std::size_t> remaining;
  remaining.reserve(from.size() - kSampleSize);
  std::size_t needed = kSampleSize;
  for (std::size_t i = 0; i < from.size(); ++i) {
    const std::size_t unseen = from.size() - i;
    if (std::uniform_int_distribution<std::size_t>(0, unseen - 1)(rng) < needed) {
      sample.push_back(from[i]);
      --needed;
    } else {
      remaining.push_back(from[i]);
    }
  }
  from.swap(remaining);
  return sample;
}

}  // namespace asterstair::sched
