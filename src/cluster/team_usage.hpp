#pragma once
/// @file
/// The resources that each team's tasks hold on all machines.

#include <map>
#include <string>

#include "cluster/machine.hpp"
#include "sched/resources.hpp"

namespace asterstair::cluster {

/// The usage of all machines, summed by team and updated machine by machine.
/// Owned by cluster::ClusterState.
class TeamUsage {
 public:
  /// Recomputes the machine's usage if it is stale, and adds the difference to the sums.
  void refresh(Machine& machine);
  /// The resources that the team's tasks hold, as of the last refresh of each machine.
  sched::Resources of(const std::string& team) const;

 private:
  std::map<std::string, sched::Resources> by_team_;
};

}  // namespace asterstair::cluster
