#pragma once
/// @file
/// Decides when the leases of workers have expired.

#include "cluster/cluster_state.hpp"
#include "leader/attempt_tracker.hpp"
#include "leader/machine_registry.hpp"
#include "leader/term_context.hpp"
#include "leader/term_recovery.hpp"

namespace asterstair::leader {

/// Expires the lease of a machine whose latest possible renewal is longer ago than the sum of the
/// lease, the clock drift and kLeaseMargin. By then the worker has killed all its tasks, so the
/// attempts there end and their tasks wait to be assigned again. The loss is included in the loss
/// rates, unless the machine's preemption was announced. Later heartbeats of the expired epoch are
/// stale. Owned by Term.
class LeaseMonitor {
 public:
  /// All references outlive the monitor.
  LeaseMonitor(const TermContext& context, cluster::ClusterState& cluster, AttemptTracker& attempts,
               MachineRegistry& registry, TermRecovery& recovery)
      : context_(context),
        cluster_(cluster),
        attempts_(attempts),
        registry_(registry),
        recovery_(recovery) {}

  /// Expires the leases whose time is up.
  void expire_leases();

 private:
  void expire(cluster::Machine& machine);

  const TermContext& context_;
  cluster::ClusterState& cluster_;
  AttemptTracker& attempts_;
  MachineRegistry& registry_;
  TermRecovery& recovery_;
};

}  // namespace asterstair::leader
