#include "base/model.hpp"

#include <algorithm>

#include "base/amounts.hpp"

namespace asterstair {

bool JobSpec::allows_type(const std::string& type) const {
  return !types || std::find(types->begin(), types->end(), type) != types->end();
}

bool MachineType::in_zone(const std::string& zone) const {
  return std::find(zones.begin(), zones.end(), zone) != zones.end();
}

std::uint32_t MachineType::max_tasks(const JobSpec& job) const {
  const double tasks =
      std::min({static_cast<double>(job.tasks), whole_tasks(cpus, job.cpus),
                whole_tasks(gpus, job.gpus), whole_tasks(memory_gb, job.memory_gb)});
  return static_cast<std::uint32_t>(std::max(0.0, tasks));
}

bool MachineType::can_hold_task(const JobSpec& job) const {
  return job.allows_type(name) && max_tasks(job) > 0;
}

}  // namespace asterstair
