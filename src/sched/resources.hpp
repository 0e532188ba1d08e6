#pragma once
// Amounts of a machine's resources, and how many tasks fit into them.

#include <cstdint>

#include "base/model.hpp"

namespace asterstair::sched {

// Sums of decimal amounts may miss by a little.
inline constexpr double kRounding = 1e-6;

struct Resources {
  double cpus = 0, gpus = 0, memory_gb = 0;

  void add(const Resources& other, double times = 1) {
    cpus += other.cpus * times;
    gpus += other.gpus * times;
    memory_gb += other.memory_gb * times;
  }
  void add(const JobSpec& job, double tasks = 1) {
    cpus += job.cpus * tasks;
    gpus += job.gpus * tasks;
    memory_gb += job.memory_gb * tasks;
  }
};

// Whether one task of the job fits.
bool fits(const JobSpec& job, const Resources& free);

// What an accelerator counts for, in processors, where the two are weighed against each other.
inline constexpr double kCpusPerGpu = 10;

// How many tasks of the job fit.
std::uint32_t tasks_that_fit(const JobSpec& job, const Resources& free);

}  // namespace asterstair::sched
