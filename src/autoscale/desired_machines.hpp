#pragma once
/// @file
/// Calculates how many machines of which type to rent for the waiting work, beyond the pending
/// machines. Pure functions, called by ScaleOut.

#include <functional>
#include <string>
#include <vector>

#include "autoscale/pool.hpp"
#include "cloud/catalog.hpp"
#include "leader/term.hpp"

namespace asterstair::autoscale {

/// Machines of one type to rent.
struct DesiredMachines {
  std::string type;                ///< name of the machine type
  std::size_t count = 0;           ///< number of machines
  bool spot = false;               ///< spot machines; otherwise on-demand machines
  std::vector<std::string> zones;  ///< the zones in which they may be
};

/// Machine types, recent capacity and loss rates, and the backlog of work.
struct Market {
  /// The machine types.
  const cloud::Catalog& catalog;
  std::function<bool(const Pool&)> is_refused;   ///< whether the pool had no capacity lately
  std::function<double(const Pool&)> loss_rate;  ///< expected losses per machine and second
  /// How long job arrays without accelerators are estimated to queue on the existing machines;
  /// Seconds::max() if there are none and none is pending.
  Seconds backlog{0};
};

/// Returns the machines to rent for `demand`, in the order of the first job that needs each.
std::vector<DesiredMachines> desired_machines(const std::vector<leader::Demand>& demand,
                                              const PendingMachines& pending, const Market& market);

}  // namespace asterstair::autoscale
