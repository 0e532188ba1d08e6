#include "sched/sampling.hpp"

#include <random>

namespace asterstair::sched {

std::vector<std::size_t> take_sample(std::vector<std::size_t>& from, Rng& rng) {
  std::vector<std::size_t> sample;
  if (from.size() <= kSampleAbove) {
    sample.swap(from);
    return sample;
  }
  std::vector<std::size_t> rest;
  rest.reserve(from.size() - kSampleSize);
  std::size_t wanted = kSampleSize;
  for (std::size_t i = 0; i < from.size(); ++i) {
    const std::size_t left = from.size() - i;
    if (std::uniform_int_distribution<std::size_t>(0, left - 1)(rng) < wanted) {
      sample.push_back(from[i]);
      --wanted;
    } else {
      rest.push_back(from[i]);
    }
  }
  from.swap(rest);
  return sample;
}

}  // namespace asterstair::sched
