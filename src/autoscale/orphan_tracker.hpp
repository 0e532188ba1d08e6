#pragma once
/// @file
/// Orphaned instances of one term of leadership. Owned by Inventory.

#include <map>
#include <string>
#include <vector>

#include "provisioning/records.hpp"

namespace asterstair::autoscale {

/// Records orphaned instances and their states. Logs listed orphans and their changes of state.
class OrphanTracker {
 public:
  /// State of an orphaned instance.
  using State = provisioning::OrphanedInstance::State;

  /// Adds a machine that the cloud lists, but that is neither in the operation log nor known to the
  /// leader.
  void add_listed(const std::string& machine, TimePoint now);
  /// Sets the final state of a Waiting orphan. Ignores other machines.
  void resolve(const std::string& machine, State state);
  /// Called when the cloud has not listed a pending machine for too long: an orphan has vanished, a
  /// rented machine has never appeared.
  void on_missing(const std::string& machine, TimePoint now);
  /// Removes resolved orphans that were first noticed long ago.
  void prune(TimePoint now);
  /// Returns the orphans for administrators, with their times on the wall clock.
  std::vector<provisioning::OrphanedInstance> snapshot(TimePoint now, WallTime wall) const;

 private:
  struct Orphan {
    State state = State::Waiting;
    TimePoint since{};  ///< when this leader first noticed it
  };
  void add(const std::string& machine, const Orphan& orphan);

  std::map<std::string, Orphan> orphans_;  ///< by machine
};

}  // namespace asterstair::autoscale
