#pragma once
/// @file
/// Machines that the cloud is taking back, or has taken back.

#include <cstddef>
#include <set>
#include <string>

namespace asterstair::leader {

/// Remembers returned machines by name, since late copies of their heartbeats come within minutes.
/// Names are never used twice. Owned by Term.
class ReturnedMachines {
 public:
  /// The machine's return is about to be made durable, or was by an earlier leader.
  void begin(const std::string& machine) { returning_.insert(machine); }
  /// The cloud has confirmed that the machine is gone.
  void confirm(const std::string& machine) {
    returning_.erase(machine);
    gone_.insert(machine);
    // Names come in the order of creation: the first are the least likely to be met again.
    if (gone_.size() > kMaxGone) gone_.erase(gone_.begin());
  }
  /// Whether the machine's return has begun and is not confirmed.
  bool returning(const std::string& machine) const { return returning_.count(machine) != 0; }
  /// Whether the cloud has confirmed that the machine is gone.
  bool gone(const std::string& machine) const { return gone_.count(machine) != 0; }

 private:
  static constexpr std::size_t kMaxGone = 20000;

  std::set<std::string> returning_;
  std::set<std::string> gone_;
};

}  // namespace asterstair::leader
