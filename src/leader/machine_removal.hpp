#pragma once
/// @file
/// Taking machines out of service, as the autoscaler asks.

#include <string>

#include "cluster/cluster_state.hpp"
#include "leader/attempt_tracker.hpp"
#include "leader/machine_registry.hpp"
#include "leader/returned_machines.hpp"
#include "leader/term_recovery.hpp"

namespace asterstair::leader {

/// Drains machines, keeps work off those that are being returned, and forgets those that are gone.
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

  /// The machine gets no new work; what is on it ends or is stopped.
  void drain(const std::string& id);
  /// The machine's return is about to be made durable, or was by an earlier leader: the cloud may
  /// take it any time. It gets no work, not even if it is not known yet and comes up later.
  void begin_return(const std::string& id);
  /// Whether the machine gets no new work and is known to have none.
  bool known_empty(const std::string& id) const;
  /// The cloud has confirmed that the machine and all on it are gone.
  void on_gone(const std::string& id);

 private:
  cluster::ClusterState& cluster_;
  AttemptTracker& attempts_;
  MachineRegistry& registry_;
  ReturnedMachines& returned_;
  TermRecovery& recovery_;
};

}  // namespace asterstair::leader
