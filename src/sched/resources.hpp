#pragma once
/// @file
/// Amounts of a machine's resources, and how many tasks fit into them. Pure functions, called by
/// the planner, the leader's snapshot and the autoscaler.

#include <algorithm>
#include <cmath>
#include <cstdint>

#include "base/model.hpp"

namespace asterstair::sched {

/// Tolerance for sums of decimal amounts, which may differ from the exact value by a little. Counts
/// of tasks and amounts of any resource are compared with it.
inline constexpr double kRounding = 1e-6;

/// What one accelerator counts for, in processors, where the two are weighed against each other.
inline constexpr double kCpusPerGpu = 10;

/// A task count that stands for "no limit". It converts to std::uint32_t without overflow.
inline constexpr double kUnlimitedTasks = 1e9;

/// Amounts of the resources that machines offer and tasks use.
struct Resources {
  double cpus = 0;       ///< Processors.
  double gpus = 0;       ///< Accelerators.
  double memory_gb = 0;  ///< Memory in gigabytes.

  /// Adds `times` the other amounts; a negative `times` subtracts.
  void add(const Resources& other, double times = 1) {
    cpus += other.cpus * times;
    gpus += other.gpus * times;
    memory_gb += other.memory_gb * times;
  }

  /// Adds what `tasks` tasks of the job use; a negative `tasks` subtracts.
  void add(const JobSpec& job, double tasks = 1) {
    cpus += job.cpus * tasks;
    gpus += job.gpus * tasks;
    memory_gb += job.memory_gb * tasks;
  }
};

/// Returns how many whole tasks the available amount of one resource allows, as a whole number. A
/// negative result means that the resource is already overcommitted. A task that needs none of the
/// resource is not limited by it.
inline double whole_tasks(double available, double per_task) {
  if (per_task <= 0) return kUnlimitedTasks;
  return std::min(kUnlimitedTasks, std::floor(available / per_task + kRounding));
}

/// Returns whether one task of the job fits into the free resources.
bool fits(const JobSpec& job, const Resources& free);

/// Returns how many tasks of the job fit into the free resources.
std::uint32_t tasks_that_fit(const JobSpec& job, const Resources& free);

}  // namespace asterstair::sched
