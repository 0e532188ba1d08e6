#include "base/model.hpp"

#include <algorithm>
#include <cmath>

namespace asterstair {

bool JobSpec::allows_type(const std::string& type) const {
  return !types || std::find(types->begin(), types->end(), type) != types->end();
}

bool MachineType::in_zone(const std::string& zone) const {
  return std::find(zones.begin(), zones.end(), zone) != zones.end();
}

std::uint32_t MachineType::max_tasks(const JobSpec& job) const {
  // Prevents a rounding error in an integral quotient from costing one task.
  constexpr double kSlack = 1e-6;
  double tasks = job.tasks;
  if (job.cpus > 0) tasks = std::min(tasks, std::floor(cpus / job.cpus + kSlack));
  if (job.gpus > 0) tasks = std::min(tasks, std::floor(gpus / job.gpus + kSlack));
  if (job.memory_gb > 0) tasks = std::min(tasks, std::floor(memory_gb / job.memory_gb + kSlack));
  return static_cast<std::uint32_t>(std::max(0.0, tasks));
}

}  // namespace asterstair
