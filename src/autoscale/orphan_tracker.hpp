#pragma once
/// @file
/// Orphaned instances of one term of leadership. Owned by Inventory.

#include <map>
#include <string>
#include <vector>

#include "provisioning/records.hpp"

namespace asterstair::autoscale {

/// Remembers orphaned instances and what becomes of them. Logs each change.
class OrphanTracker {
 public:
  /// What has become of an orphan.
  using State = provisioning::OrphanedInstance::State;

  /// Adds a machine that the cloud lists and nobody knows.
  void add_listed(const std::string& machine, TimePoint now);
  /// Sets what has become of a Waiting orphan. Other machines are ignored.
  void resolve(const std::string& machine, State state);
  /// Tells that the cloud has not listed a pending machine for too long.
  void on_missing(const std::string& machine, TimePoint now);
  /// Drops orphans whose state has been final for a while.
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
