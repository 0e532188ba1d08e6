#pragma once
/// @file
/// Heartbeats of workers: which count, what they change, and what they are answered.

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

/// The answer to a heartbeat. src/node turns it into HTTP.
struct HeartbeatResponse {
  /// Whether the heartbeat is answered with commands.
  enum class Outcome {
    Accepted,    ///< the worker's lease is renewed
    AnswersLost  ///< refused: responses do not reach the worker, so its lease is left to expire
  };
  /// Whether the heartbeat is answered with commands.
  Outcome outcome = Outcome::Accepted;
  std::uint64_t token = 0;        ///< Accepted: the fencing token
  std::vector<Command> commands;  ///< Accepted: to be carried out in this order
};

/// Applies heartbeats to the machine table. Counts each worker's lease on the safe side: a response
/// renews it from when the heartbeat was sent, so only a heartbeat that is newer than all before
/// moves the time at which the lease surely expires. Owned by Term.
class HeartbeatHandler {
 public:
  /// All references outlive the handler.
  HeartbeatHandler(const TermContext& context, cluster::ClusterState& cluster,
                   const ReturnedMachines& returned, TermRecovery& recovery,
                   MachineRegistry& registry, WorkerHealth& health, AttemptTracker& attempts,
                   GangController& gangs, HeartbeatCommands& commands, SchedulingLoop& scheduling);

  /// Handles a heartbeat. To be called only while TermRecovery::view_is_fresh(), since each
  /// response may renew a lease.
  HeartbeatResponse on_heartbeat(const Heartbeat& heartbeat);
  /// Handles the response to a direct command, which shows at once what the next heartbeat would:
  /// resources that have come free, above all. It renews no lease.
  void on_direct_response(const Heartbeat& heartbeat);

  /// Whether no heartbeat has come for so long, from several machines, that they cannot all be at
  /// fault: this node must be.
  bool heartbeats_lost() const;
  /// When the last heartbeat came; if none has in this term, when the term began.
  TimePoint last_heartbeat_at() const { return last_heartbeat_at_; }
  /// Whether a heartbeat has come in this term.
  bool any_heartbeat() const { return any_heartbeat_; }

 private:
  cluster::Machine& find_or_add(const std::string& id);
  void count_renewal(cluster::Machine& machine, const Heartbeat& heartbeat) const;
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
