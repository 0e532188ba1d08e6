#pragma once
/// @file
/// The commands in the response to a heartbeat.

#include <cstdint>
#include <optional>
#include <vector>

#include "cluster/cluster_state.hpp"
#include "leader/attempt_tracker.hpp"
#include "leader/gang_controller.hpp"
#include "leader/term_context.hpp"
#include "leader/worker_health.hpp"

namespace asterstair::leader {

/// Decides what a worker is told in the response to its heartbeat: stops first, then
/// acknowledgements, then starts. Starts and acknowledgements travel in no other way. Owned by
/// Term.
class HeartbeatCommands {
 public:
  /// All references outlive this object.
  HeartbeatCommands(cluster::ClusterState& cluster, const WorkerHealth& health,
                    AttemptTracker& attempts, const GangController& gangs)
      : cluster_(cluster), health_(health), attempts_(attempts), gangs_(gangs) {}

  /// The commands for a machine whose heartbeat has just been applied. Marks the starts among them
  /// as dispatched.
  std::vector<Command> commands_for(cluster::Machine& machine);
  /// Stops for the reported tasks whose jobs are not live, for heartbeats that are not applied.
  /// Each response may renew the worker's lease, so none may leave such a task running: through one
  /// leader after the other it could outlast `cancel_s`. A task that an earlier leader started was
  /// live when this term's view was requested, or its job had ended.
  std::vector<Command> stops_for_ended_jobs(const Heartbeat& heartbeat) const;

  /// While suspended, no task is started: other nodes may confirm cancellations that this one
  /// cannot see.
  void suspend_launches(bool suspended) { launches_suspended_ = suspended; }

 private:
  std::optional<Command> stop_for(cluster::Machine& machine, cluster::TaskAttempt& attempt) const;
  bool may_acknowledge(const cluster::TaskAttempt& attempt) const;
  void add_starts(cluster::Machine& machine, std::vector<Command>& commands) const;

  cluster::ClusterState& cluster_;
  const WorkerHealth& health_;
  AttemptTracker& attempts_;
  const GangController& gangs_;
  bool launches_suspended_ = false;
};

}  // namespace asterstair::leader
