#pragma once
/// @file
/// Takes machines out of service at the autoscaler's request.

#include <string>

#include "cluster/cluster_state.hpp"
#include "leader/attempt_tracker.hpp"
#include "leader/machine_registry.hpp"
#include "leader/returned_machines.hpp"
#include "leader/term_recovery.hpp"

namespace asterstair::leader {

/// Drains machines, keeps work off machines that are being returned, and removes terminated ones.
/// Owned by Term.
class MachineRemoval {
 public:
  /// All references outlive this object.
  MachineRemoval(cluster::ClusterState& cluster, AttemptTracker& attempts,
                 MachineRegistry& registry, ReturnedMachines& returned, TermRecovery& recovery)
      : cluster_(cluster),
        attempts_(attempts),
        registry_(registry),
        returned_(returned),
        recovery_(recovery) {}

  /// Drains the machine: it gets no new work, and its attempts end or are stopped.
  void drain(const std::string& id);
  /// Marks the machine as being returned. Its return is about to become durable, or an earlier
  /// leader has made it durable, so the cloud may terminate the machine any time. It gets no work,
  /// even if it is not known yet and sends its first heartbeat later.
  void begin_return(const std::string& id);
  /// Whether the machine gets no new work and is known to hold no attempts.
  bool known_empty(const std::string& id) const;
  /// Removes a machine whose termination the cloud has confirmed, and ends the attempts on it.
  void on_terminated(const std::string& id);

 private:
  cluster::ClusterState& cluster_;
  AttemptTracker& attempts_;
  MachineRegistry& registry_;
  ReturnedMachines& returned_;
  TermRecovery& recovery_;
};

}  // namespace asterstair::leader
