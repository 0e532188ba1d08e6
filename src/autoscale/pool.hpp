#pragma once
/// @file
/// Pools of interchangeable machines, and pending machines. Used by all components of the
/// autoscaler.

#include <map>
#include <string>

#include "base/time.hpp"
#include "provisioning/operation.hpp"

namespace asterstair::autoscale {

/// Machines of one type, zone and price class. Refusals and loss rates are tracked per pool.
struct Pool {
  std::string type;   ///< name of the machine type
  std::string zone;   ///< zone of the machines
  bool spot = false;  ///< spot machines; otherwise on-demand machines
  /// Orders pools by all members.
  auto operator<=>(const Pool&) const = default;
};

/// Returns the pool that a rental asks for.
inline Pool pool_of(const provisioning::Rental& rental) {
  return {rental.type, rental.zone, rental.spot};
}

/// A rented machine whose worker has not sent a heartbeat yet.
struct PendingMachine {
  /// Pool from which it was rented.
  Pool pool;
  TimePoint since{};       ///< when it was rented
  TimePoint first_seen{};  ///< when this leader learned of it
};

/// Pending machines by id.
using PendingMachines = std::map<std::string, PendingMachine>;

}  // namespace asterstair::autoscale
