#pragma once
/// @file
/// Decides when the lease of a worker has expired.

#include "cluster/cluster_state.hpp"
#include "leader/attempt_tracker.hpp"
#include "leader/machine_registry.hpp"
#include "leader/term_context.hpp"
#include "leader/term_recovery.hpp"

namespace asterstair::leader {

/// Expires machines whose last renewal, as far as this leader can know, is longer ago than a lease,
/// clock drift and kLeaseMargin together. Such a worker has killed all its tasks: the attempts
/// there end, their tasks wait for new ones, the loss counts in the loss rates, and whatever the
/// worker still says of the expired epoch is late. Owned by Term.
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

  /// Expires the leases that have run out by now.
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
