#pragma once
/// @file
/// Machines between the cloud and the cluster. Owned by Autoscaler. Pure state.

#include <map>
#include <set>
#include <string>
#include <vector>

#include "autoscale/orphan_tracker.hpp"
#include "autoscale/pool.hpp"
#include "base/settings.hpp"
#include "cluster/machine_table.hpp"

namespace asterstair::autoscale {

/// Knows the machines that are rented and have not sent a heartbeat, and those that are returned
/// and may still be listed. The cloud's lists lag and can go back in time, so a machine that is
/// absent from a list is believed to be gone only after a timeout.
class Inventory {
 public:
  /// Uses the list lag of the settings.
  explicit Inventory(const Settings& settings) : settings_(settings) {}

  /// Tells that a machine was granted. `since` is the time of the rental.
  void on_rented(const std::string& machine, const Pool& pool, TimePoint since, TimePoint now);
  /// Tells that the cloud has confirmed a return.
  void on_returned(const std::string& machine, TimePoint now);
  /// Applies a complete list of the cloud's machines. `known` are those that the leader knows.
  void on_list(const std::vector<ListedMachine>& machines, const cluster::MachineTable& known,
               TimePoint now);
  /// Removes pending machines that the leader knows by now.
  void remove_joined(const cluster::MachineTable& known, TimePoint now);

  /// Rented machines that have not sent a heartbeat.
  const PendingMachines& pending() const { return pending_; }
  /// Whether the machine was returned lately: lists may show it still.
  bool was_returned(const std::string& machine) const { return returned_.count(machine) != 0; }
  /// Whether the latest list has the machine.
  bool is_listed(const std::string& machine) const { return listed_.count(machine) != 0; }
  /// Returns, once, the pending machines that are given up because the cloud does not list them.
  std::vector<std::string> take_vanished();
  /// Orphaned instances of this term.
  const OrphanTracker& orphans() const { return orphans_; }

 private:
  void add_unknown(const std::vector<ListedMachine>& machines, const cluster::MachineTable& known,
                   TimePoint now);
  void give_up_missing(const cluster::MachineTable& known, TimePoint now);
  void prune_returned(TimePoint now);

  const Settings& settings_;
  PendingMachines pending_;
  std::map<std::string, TimePoint> returned_;  ///< time of the confirmation, by machine
  std::set<std::string> listed_;               ///< machines of the latest list
  std::vector<std::string> vanished_;
  OrphanTracker orphans_;
};

}  // namespace asterstair::autoscale
