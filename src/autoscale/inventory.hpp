#pragma once
/// @file
/// Machines that are rented and not in the cluster yet, or returned and possibly still listed.
/// Owned by Autoscaler. Sends no requests.

#include <map>
#include <set>
#include <string>
#include <vector>

#include "autoscale/orphan_tracker.hpp"
#include "autoscale/pool.hpp"
#include "base/settings.hpp"
#include "cluster/machine_table.hpp"

namespace asterstair::autoscale {

/// Keeps the machines that are rented and have not sent a heartbeat, and those that are returned
/// and may still be listed. The cloud's lists lag and may be older than the previous one, so a
/// machine that is absent from a list counts as terminated only after a timeout.
class Inventory {
 public:
  /// Uses the list lag of the settings.
  explicit Inventory(const Settings& settings) : settings_(settings) {}

  /// Called when a machine was granted. `since` is the time of the rental.
  void on_rented(const std::string& machine, const Pool& pool, TimePoint since, TimePoint now);
  /// Called when the cloud has confirmed a return.
  void on_returned(const std::string& machine, TimePoint now);
  /// Applies a complete list of the cloud's machines. `known` are the machines that the leader
  /// knows.
  void on_list(const std::vector<ListedMachine>& machines, const cluster::MachineTable& known,
               TimePoint now);
  /// Removes pending machines that the leader has come to know.
  void remove_joined(const cluster::MachineTable& known, TimePoint now);

  /// Rented machines that have not sent a heartbeat.
  const PendingMachines& pending() const { return pending_; }
  /// Whether the machine was returned recently, so that lists may still contain it.
  bool was_returned(const std::string& machine) const { return returned_.count(machine) != 0; }
  /// Whether the latest list contains the machine.
  bool is_listed(const std::string& machine) const { return listed_.count(machine) != 0; }
  /// Returns the pending machines that were removed because the cloud does not list them. Each is
  /// returned once.
  std::vector<std::string> take_vanished();
  /// Orphaned instances of this term.
  const OrphanTracker& orphans() const { return orphans_; }

 private:
  void adopt_orphans(const std::vector<ListedMachine>& machines, const cluster::MachineTable& known,
                     TimePoint now);
  void remove_missing(const cluster::MachineTable& known, TimePoint now);
  void prune_returned(TimePoint now);

  const Settings& settings_;
  PendingMachines pending_;
  std::map<std::string, TimePoint> returned_;  ///< time of the confirmation, by machine
  std::set<std::string> listed_;               ///< machines of the latest list
  std::vector<std::string> vanished_;
  OrphanTracker orphans_;
};

}  // namespace asterstair::autoscale
