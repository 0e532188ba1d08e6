#include "sched/accelerator_reserve.hpp"

#include <algorithm>

namespace asterstair::sched {

AcceleratorReserve::AcceleratorReserve(const Snapshot& snapshot)
    : reserved_gpus_(snapshot.reserved_gpus), cpus_per_gpu_(snapshot.cpus_per_gpu) {
  for (const PlanMachine& machine : snapshot.machines) add(machine.free);
}

std::uint32_t AcceleratorReserve::tasks_that_fit_on(const PlanJob& planned,
                                                    const PlanMachine& machine) const {
  const JobSpec& spec = *planned.job;
  if (spec.gpus > 0 || machine.free.gpus <= 0 || planned.overdue) {
    return tasks_that_fit(spec, machine.free);
  }
  Resources free = machine.free;
  const double unreserved = std::max(0.0, usable_ - reserved_gpus_);
  free.cpus -= std::max(0.0, usable_accelerators(free) - unreserved) * cpus_per_gpu_;
  return free.cpus <= 0 ? 0 : tasks_that_fit(spec, free);
}

}  // namespace asterstair::sched
