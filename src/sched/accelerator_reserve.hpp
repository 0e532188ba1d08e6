#pragma once
/// @file
/// Keeps processors beside free accelerators for the jobs that need both. Used by the planner.

#include <algorithm>
#include <cmath>
#include <cstdint>

#include "sched/snapshot.hpp"

namespace asterstair::sched {

/// Counts the accelerators of the cluster that a job of the usual shape could still use, and limits
/// what job arrays without accelerators take of the processors beside them. One planning round owns
/// it and reports each change of a machine's free resources.
class AcceleratorReserve {
 public:
  /// Counts the free accelerators of the snapshot's machines.
  explicit AcceleratorReserve(const Snapshot& snapshot);

  /// Must be called before a machine's free resources change, with their amounts until then.
  void remove(const Resources& free) { usable_ -= usable_accelerators(free); }

  /// Must be called after a machine's free resources changed, with their new amounts.
  void add(const Resources& free) { usable_ += usable_accelerators(free); }

  /// Returns how many tasks of a job array fit on the machine. Tasks that need no accelerator leave
  /// the processors beside free accelerators alone, once no more accelerators are usable than the
  /// snapshot's keep_gpus. An overdue job may take them all the same.
  std::uint32_t tasks_that_fit_on(const PlanJob& planned, const PlanMachine& machine) const;

 private:
  // Returns the free accelerators that have processors beside them for a job of the usual shape.
  double usable_accelerators(const Resources& free) const {
    if (free.gpus <= 0) return 0;
    if (cpus_per_gpu_ <= 0) return free.gpus;
    const double by_cpus = std::floor(std::max(0.0, free.cpus) / cpus_per_gpu_ + kRounding);
    return std::min(free.gpus, by_cpus);
  }

  double keep_gpus_;
  double cpus_per_gpu_;
  double usable_ = 0;
};

}  // namespace asterstair::sched
