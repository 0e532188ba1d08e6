#include "sched/constraints.hpp"

#include <algorithm>
#include <cmath>

namespace asterstair::sched {
namespace {

constexpr double kUnlimited = 1e9;

}  // namespace

bool allowed_on(const JobSpec& job, const PlanMachine& machine) {
  return (job.spot || !machine.spot) && job.allows_type(machine.type->name) &&
         (!job.zone || *job.zone == machine.zone);
}

std::uint32_t zone_room(const JobSpec& job, const TasksByZone& in_zone, const std::string& zone) {
  if (job.zone && *job.zone != zone) return 0;
  if (job.one_zone) {
    const bool elsewhere = std::any_of(in_zone.begin(), in_zone.end(), [&](const auto& other) {
      return other.second > 0 && other.first != zone;
    });
    if (elsewhere) return 0;
  }
  if (!job.spread) return UINT32_MAX;
  const std::uint32_t most = (job.tasks + 1) / 2;
  const auto it = in_zone.find(zone);
  const std::uint32_t there = it == in_zone.end() ? 0 : it->second;
  return there >= most ? 0 : most - there;
}

std::uint32_t team_room(const TeamState& team, const JobSpec& job) {
  double n = kUnlimited;
  if (team.max_cpus > 0 && job.cpus > 0) {
    n = std::min(n, std::floor((team.max_cpus - team.used.cpus) / job.cpus + kRounding));
  }
  if (team.max_gpus > 0 && job.gpus > 0) {
    n = std::min(n, std::floor((team.max_gpus - team.used.gpus) / job.gpus + kRounding));
  }
  return static_cast<std::uint32_t>(std::max(0.0, n));
}

}  // namespace asterstair::sched
