#pragma once
/// @file
/// What each team's tasks hold on all machines.

#include <map>
#include <string>

#include "cluster/machine.hpp"
#include "sched/resources.hpp"

namespace asterstair::cluster {

/// The sum of all machines' usage by team, kept up to date machine by machine.
/// Owned by cluster::ClusterState.
class TeamUsage {
 public:
  /// Recomputes the machine's usage if it is stale, and takes over the difference.
  void refresh(Machine& machine);
  /// What the team's tasks hold, as of the last refresh of each machine.
  sched::Resources of(const std::string& team) const;

 private:
  std::map<std::string, sched::Resources> by_team_;
};

}  // namespace asterstair::cluster
