#pragma once
/// @file
/// Handles the heartbeats of workers: decides which are applied, and answers them.

#include <cstdint>
#include <vector>

#include "cluster/cluster_state.hpp"
#include "leader/attempt_tracker.hpp"
#include "leader/gang_controller.hpp"
#include "leader/heartbeat_commands.hpp"
#include "leader/machine_registry.hpp"
#include "leader/returned_machines.hpp"
#include "leader/scheduling_loop.hpp"
#include "leader/term_context.hpp"
#include "leader/term_recovery.hpp"
#include "leader/worker_health.hpp"

namespace asterstair::leader {

/// The response to a heartbeat. src/node encodes it as HTTP.
struct HeartbeatResponse {
  /// Whether the heartbeat is accepted.
  enum class Outcome {
    Accepted,      ///< the worker's lease is renewed
    ResponsesLost  ///< refused: responses do not reach the worker, so its lease is left to expire
  };
  /// Whether the heartbeat is accepted.
  Outcome outcome = Outcome::Accepted;
  std::uint64_t token = 0;        ///< Accepted: the fencing token
  std::vector<Command> commands;  ///< Accepted: commands, to be executed in this order
};

/// Applies heartbeats to the machine table. Records an upper bound of the last renewal of each
/// worker's lease: a response renews the lease from the time at which the heartbeat was sent, so
/// only a heartbeat that is newer than all earlier ones moves the bound. Owned by Term.
class HeartbeatHandler {
 public:
  /// All references outlive the handler.
  HeartbeatHandler(const TermContext& context, cluster::ClusterState& cluster,
                   const ReturnedMachines& returned, TermRecovery& recovery,
                   MachineRegistry& registry, WorkerHealth& health, AttemptTracker& attempts,
                   GangController& gangs, HeartbeatCommands& commands, SchedulingLoop& scheduling);

  /// Handles a heartbeat. Must be called only while TermRecovery::view_is_fresh(), since each
  /// response may renew a lease.
  HeartbeatResponse on_heartbeat(const Heartbeat& heartbeat);
  /// Handles the response to a direct command. It shows the worker's status earlier than the next
  /// heartbeat, above all resources that are free again. It does not renew the lease.
  void on_direct_response(const Heartbeat& heartbeat);

  /// Whether no heartbeat has arrived for longer than the maximum time between two heartbeats,
  /// though several machines are expected to send them. The cause is then taken to be this node,
  /// since several machines do not fail at the same time.
  bool heartbeats_lost() const;
  /// When the last heartbeat arrived; if none has arrived in this term, when the term began.
  TimePoint last_heartbeat_at() const { return last_heartbeat_at_; }
  /// Whether a heartbeat has arrived in this term.
  bool any_heartbeat() const { return any_heartbeat_; }

 private:
  cluster::Machine& find_or_add(const std::string& id);
  void record_renewal(cluster::Machine& machine, const Heartbeat& heartbeat) const;
  HeartbeatResponse stops_only(const Heartbeat& heartbeat) const;
  HeartbeatResponse apply(cluster::Machine& machine, const Heartbeat& heartbeat);
  double cache_capacity_gb(const std::string& type) const;

  const TermContext& context_;
  cluster::ClusterState& cluster_;
  const ReturnedMachines& returned_;
  TermRecovery& recovery_;
  MachineRegistry& registry_;
  WorkerHealth& health_;
  AttemptTracker& attempts_;
  GangController& gangs_;
  HeartbeatCommands& commands_;
  SchedulingLoop& scheduling_;
  TimePoint last_heartbeat_at_;
  bool any_heartbeat_ = false;
};

}  // namespace asterstair::leader
