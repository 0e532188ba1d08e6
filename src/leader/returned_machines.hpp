#pragma once
/// @file
/// Machines that are being returned to the cloud, or have been returned.

#include <cstddef>
#include <set>
#include <string>

namespace asterstair::leader {

/// Records returned machines by name, so that late copies of their heartbeats, which may arrive for
/// minutes, can be recognized. Names are never reused. Owned by Term.
class ReturnedMachines {
 public:
  /// Records that the machine is being returned: its return is about to become durable, or an
  /// earlier leader has made it durable.
  void begin(const std::string& machine) { returning_.insert(machine); }
  /// Records that the cloud has confirmed the machine's termination.
  void confirm(const std::string& machine) {
    returning_.erase(machine);
    terminated_.insert(machine);
    // Names sort by creation, so the first one is the oldest: its late heartbeats are the least
    // likely.
    if (terminated_.size() > kMaxTerminated) terminated_.erase(terminated_.begin());
  }
  /// Whether the machine's return has begun and its termination is not confirmed.
  bool returning(const std::string& machine) const { return returning_.count(machine) != 0; }
  /// Whether the cloud has confirmed the machine's termination.
  bool terminated(const std::string& machine) const { return terminated_.count(machine) != 0; }

 private:
  static constexpr std::size_t kMaxTerminated = 20000;  // limits the memory for names

  std::set<std::string> returning_;
  std::set<std::string> terminated_;
};

}  // namespace asterstair::leader
