#pragma once
/// @file
/// All that a leader knows of jobs and machines during one term.

#include "cluster/job_table.hpp"
#include "cluster/machine_losses.hpp"
#include "cluster/machine_table.hpp"
#include "cluster/team_usage.hpp"

namespace asterstair::cluster {

/// The tables that the modules of a term share. Pure state: what may change which part is said by
/// the modules of src/leader, see docs/architecture.md. Owned by leader::Term.
struct ClusterState {
  ClusterState() : losses(machines) {}
  ClusterState(const ClusterState&) = delete;
  ClusterState& operator=(const ClusterState&) = delete;

  /// The live jobs.
  JobTable jobs;
  /// All machines that are known.
  MachineTable machines;
  /// What each team's tasks hold.
  TeamUsage team_usage;
  /// How often machines are lost.
  MachineLosses losses;
};

}  // namespace asterstair::cluster
