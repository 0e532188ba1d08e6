#pragma once
/// @file
/// Decides which commands the response to a heartbeat contains.

#include <cstdint>
#include <optional>
#include <vector>

#include "cluster/cluster_state.hpp"
#include "leader/attempt_tracker.hpp"
#include "leader/gang_controller.hpp"
#include "leader/term_context.hpp"
#include "leader/worker_health.hpp"

namespace asterstair::leader {

/// Makes the commands in the response to a heartbeat: stops first, then acknowledgements, then
/// starts. Starts and acknowledgements are sent only in these responses. Owned by Term.
class HeartbeatCommands {
 public:
  /// All references outlive this object.
  HeartbeatCommands(cluster::ClusterState& cluster, const WorkerHealth& health,
                    AttemptTracker& attempts, const GangController& gangs)
      : cluster_(cluster), health_(health), attempts_(attempts), gangs_(gangs) {}

  /// The commands for a machine whose heartbeat has just been applied. Marks the attempts that they
  /// start as dispatched.
  std::vector<Command> commands_for(cluster::Machine& machine);
  /// Stop commands for the reported tasks whose jobs are not live; used for heartbeats that are not
  /// applied. Each response may renew the worker's lease, so no response may leave such a task
  /// running: over several changes of leader it could run for longer than `cancel_s` after its
  /// cancellation. The lookup is safe for tasks that an earlier leader started: their jobs were
  /// already live when this term requested its view of the live jobs, or had ended by then.
  std::vector<Command> stops_for_ended_jobs(const Heartbeat& heartbeat) const;

  /// Suspends or resumes start commands. They are suspended while other nodes may confirm
  /// cancellations that this node cannot see.
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
