#pragma once
/// @file
/// Decides when the leases of workers have expired.

#include <functional>
#include <utility>

#include "cluster/cluster_state.hpp"
#include "leader/attempt_tracker.hpp"
#include "leader/machine_registry.hpp"
#include "leader/term_context.hpp"
#include "leader/term_recovery.hpp"

namespace asterstair::leader {

/// Expires the lease of a machine whose latest possible renewal is longer ago than the sum of the
/// lease, the clock drift and kLeaseMargin, if this node is known to have had no successor until
/// then. By then the worker has killed all its tasks, so the attempts there end and their tasks
/// wait to be assigned again. The loss is included in the loss rates, unless the machine's
/// preemption was announced. Later heartbeats of the expired epoch are stale.
///
/// Elapsed time alone shows nothing: a successor that this leader does not know of may have renewed
/// the lease. When a lease times out, the monitor therefore asks the state service whether this
/// node still leads. Owned by Term.
class LeaseMonitor {
 public:
  /// All references outlive the monitor. `on_confirmed` runs after each question to `election`
  /// whether this node still leads, unless the term has ended.
  LeaseMonitor(const TermContext& context, Election& election, cluster::ClusterState& cluster,
               AttemptTracker& attempts, MachineRegistry& registry, TermRecovery& recovery,
               std::function<void()> on_confirmed)
      : context_(context),
        election_(election),
        cluster_(cluster),
        attempts_(attempts),
        registry_(registry),
        recovery_(recovery),
        on_confirmed_(std::move(on_confirmed)) {}

  /// Expires the leases that have timed out, as far as it is confirmed that this node had no
  /// successor. Asks for the confirmation where it is missing.
  void expire_leases();

 private:
  void expire(cluster::Machine& machine);
  void request_confirmation();

  const TermContext& context_;
  Election& election_;
  cluster::ClusterState& cluster_;
  AttemptTracker& attempts_;
  MachineRegistry& registry_;
  TermRecovery& recovery_;
  std::function<void()> on_confirmed_;
  bool confirmation_pending_ = false;
  TimePoint next_confirmation_{};
};

}  // namespace asterstair::leader
