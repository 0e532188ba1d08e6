#include "sched/accelerator_reserve.hpp"

#include <algorithm>

namespace asterstair::sched {

AcceleratorReserve::AcceleratorReserve(const Snapshot& snapshot)
    : keep_gpus_(snapshot.keep_gpus), cpus_per_gpu_(snapshot.cpus_per_gpu) {
  for (const PlanMachine& machine : snapshot.machines) add(machine.free);
}

std::uint32_t AcceleratorReserve::tasks_that_fit_on(const PlanJob& planned,
                                                    const PlanMachine& machine) const {
  const JobSpec& spec = *planned.job;
  if (spec.gpus > 0 || machine.free.gpus <= 0 || planned.overdue) {
    return tasks_that_fit(spec, machine.free);
  }
  Resources free = machine.free;
  const double spare = std::max(0.0, usable_ - keep_gpus_);
  free.cpus -= std::max(0.0, usable_accelerators(free) - spare) * cpus_per_gpu_;
  return free.cpus <= 0 ? 0 : tasks_that_fit(spec, free);
}

}  // namespace asterstair::sched
