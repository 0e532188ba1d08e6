#include "cluster/team_usage.hpp"

namespace asterstair::cluster {

void TeamUsage::refresh(Machine& machine) {
  if (!machine.usage_stale) return;
  machine.usage_stale = false;
  for (const auto& [team, usage] : machine.usage.teams) by_team_[team].add(usage, -1);
  machine.usage = machine.compute_usage();
  for (const auto& [team, usage] : machine.usage.teams) by_team_[team].add(usage);
}

sched::Resources TeamUsage::of(const std::string& team) const {
  const auto entry = by_team_.find(team);
  return entry == by_team_.end() ? sched::Resources{} : entry->second;
}

}  // namespace asterstair::cluster
