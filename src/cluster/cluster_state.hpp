#pragma once
/// @file
/// The leader's state of jobs and machines during one term.

#include "cluster/job_table.hpp"
#include "cluster/machine_losses.hpp"
#include "cluster/machine_table.hpp"
#include "cluster/team_usage.hpp"

namespace asterstair::cluster {

/// The tables that the modules of a term share. Pure state: which module of src/leader may change
/// which part is documented in those modules and in docs/architecture.md. Owned by leader::Term.
struct ClusterState {
  ClusterState() : losses(machines) {}
  ClusterState(const ClusterState&) = delete;
  ClusterState& operator=(const ClusterState&) = delete;

  /// The live jobs.
  JobTable jobs;
  /// The known machines.
  MachineTable machines;
  /// The resources that each team's tasks hold.
  TeamUsage team_usage;
  /// Rates at which machines are lost.
  MachineLosses losses;
};

}  // namespace asterstair::cluster
