#include "sched/resources.hpp"

#include <algorithm>
#include <cmath>

namespace asterstair::sched {
namespace {

constexpr double kUnlimited = 1e9;

}  // namespace

bool fits(const JobSpec& job, const Resources& free) {
  return free.cpus + kRounding >= job.cpus && free.gpus + kRounding >= job.gpus &&
         free.memory_gb + kRounding >= job.memory_gb;
}

std::uint32_t tasks_that_fit(const JobSpec& job, const Resources& free) {
  double n = kUnlimited;
  if (job.cpus > 0) n = std::min(n, std::floor(free.cpus / job.cpus + kRounding));
  if (job.gpus > 0) n = std::min(n, std::floor(free.gpus / job.gpus + kRounding));
  if (job.memory_gb > 0) n = std::min(n, std::floor(free.memory_gb / job.memory_gb + kRounding));
  return static_cast<std::uint32_t>(std::max(0.0, n));
}

}  // namespace asterstair::sched
