#include "sched/constraints.hpp"

#include <algorithm>

namespace asterstair::sched {
namespace {

bool has_tasks_outside(const TasksByZone& in_zone, const std::string& zone) {
  return std::any_of(in_zone.begin(), in_zone.end(),
                     [&](const auto& other) { return other.second > 0 && other.first != zone; });
}

double tasks_below_maximum(double maximum, double used, double per_task) {
  return maximum > 0 ? whole_tasks(maximum - used, per_task) : kUnlimitedTasks;
}

}  // namespace

bool allowed_on(const JobSpec& job, const PlanMachine& machine) {
  return (job.spot || !machine.spot) && job.allows_type(machine.type->name) &&
         (!job.zone || *job.zone == machine.zone);
}

std::uint32_t tasks_allowed_in_zone(const JobSpec& job, const TasksByZone& in_zone,
                                    const std::string& zone) {
  if (job.zone && *job.zone != zone) return 0;
  if (job.one_zone && has_tasks_outside(in_zone, zone)) return 0;
  if (!job.spread) return UINT32_MAX;
  const std::uint32_t max_in_zone = (job.tasks + 1) / 2;
  const auto it = in_zone.find(zone);
  const std::uint32_t placed = it == in_zone.end() ? 0 : it->second;
  return placed >= max_in_zone ? 0 : max_in_zone - placed;
}

std::uint32_t tasks_within_quota(const TeamState& team, const JobSpec& job) {
  const double by_cpus = tasks_below_maximum(team.max_cpus, team.used.cpus, job.cpus);
  const double by_gpus = tasks_below_maximum(team.max_gpus, team.used.gpus, job.gpus);
  return static_cast<std::uint32_t>(std::max(0.0, std::min(by_cpus, by_gpus)));
}

}  // namespace asterstair::sched
