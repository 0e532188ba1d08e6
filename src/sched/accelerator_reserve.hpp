#pragma once
/// @file
/// Reserves processors on machines with free accelerators for jobs that need both. Used by the
/// planner.

#include <algorithm>
#include <cmath>
#include <cstdint>

#include "sched/snapshot.hpp"

namespace asterstair::sched {

/// Counts the free accelerators that a job of the usual shape could still use, and limits how many
/// processors on the same machines go to job arrays that need no accelerator. Each planning round
/// owns one and reports every change of a machine's free resources to it.
class AcceleratorReserve {
 public:
  /// Counts the free accelerators of the snapshot's machines.
  explicit AcceleratorReserve(const Snapshot& snapshot);

  /// Must be called before a machine's free resources change, with the old amounts.
  void remove(const Resources& free) { usable_ -= usable_accelerators(free); }

  /// Must be called after a machine's free resources change, with the new amounts.
  void add(const Resources& free) { usable_ += usable_accelerators(free); }

  /// Returns how many tasks of a job array fit on the machine. Once no more accelerators are usable
  /// than the snapshot's reserved_gpus, tasks that need no accelerator may not take the processors
  /// that the machine's free accelerators need. Overdue jobs are exempt.
  std::uint32_t tasks_that_fit_on(const PlanJob& planned, const PlanMachine& machine) const;

 private:
  // Returns how many free accelerators a job of the usual shape could use: each needs
  // cpus_per_gpu_ free processors on the same machine.
  double usable_accelerators(const Resources& free) const {
    if (free.gpus <= 0) return 0;
    if (cpus_per_gpu_ <= 0) return free.gpus;
    const double by_cpus =
        std::floor(std::max(0.0, free.cpus) / cpus_per_gpu_ + kRoundingTolerance);
    return std::min(free.gpus, by_cpus);
  }

  double reserved_gpus_;
  double cpus_per_gpu_;
  double usable_ = 0;
};

}  // namespace asterstair::sched
