#pragma once
/// @file
/// Amounts of resources, and how many tasks fit into them. Pure functions, called by the planner,
/// the leader's snapshot builder and the autoscaler.

#include <cstdint>

#include "base/amounts.hpp"
#include "base/model.hpp"

namespace asterstair::sched {

/// Number of processors that one accelerator is worth where the two are compared or added.
inline constexpr double kCpusPerGpu = 10;

/// Amounts of resources that machines offer and tasks use.
struct Resources {
  double cpus = 0;       ///< Processors.
  double gpus = 0;       ///< Accelerators.
  double memory_gb = 0;  ///< Memory in gigabytes.

  /// Adds the other amounts multiplied by `times`; a negative `times` subtracts.
  void add(const Resources& other, double times = 1) {
    cpus += other.cpus * times;
    gpus += other.gpus * times;
    memory_gb += other.memory_gb * times;
  }

  /// Adds the resources of `tasks` tasks of the job; a negative `tasks` subtracts.
  void add(const JobSpec& job, double tasks = 1) {
    cpus += job.cpus * tasks;
    gpus += job.gpus * tasks;
    memory_gb += job.memory_gb * tasks;
  }
};

/// Returns whether one task of the job fits into the free resources.
bool fits(const JobSpec& job, const Resources& free);

/// Returns how many tasks of the job fit into the free resources.
std::uint32_t tasks_that_fit(const JobSpec& job, const Resources& free);

}  // namespace asterstair::sched
