#include "sched/resources.hpp"

#include <algorithm>

namespace asterstair::sched {

bool fits(const JobSpec& job, const Resources& free) {
  return covers(free.cpus, job.cpus) && covers(free.gpus, job.gpus) &&
         covers(free.memory_gb, job.memory_gb);
}

std::uint32_t tasks_that_fit(const JobSpec& job, const Resources& free) {
  const double by_cpus = whole_tasks(free.cpus, job.cpus);
  const double by_gpus = whole_tasks(free.gpus, job.gpus);
  const double by_memory = whole_tasks(free.memory_gb, job.memory_gb);
  return static_cast<std::uint32_t>(std::max(0.0, std::min({by_cpus, by_gpus, by_memory})));
}

}  // namespace asterstair::sched
