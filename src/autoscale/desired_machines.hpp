#pragma once
/// @file
/// How many machines of which type the waiting work calls for, beyond the pending ones. Pure;
/// called by ScaleOut.

#include <functional>
#include <string>
#include <vector>

#include "autoscale/pool.hpp"
#include "cloud/catalog.hpp"
#include "leader/term.hpp"

namespace asterstair::autoscale {

/// Machines of one type to rent, in any zone that the job allows.
struct DesiredMachines {
  std::string type;              ///< name of the machine type
  std::size_t count = 0;         ///< number of machines
  bool spot = false;             ///< spot machines; otherwise on-demand machines
  const JobSpec* job = nullptr;  ///< the first job that calls for them; its zone rule applies
};

/// What the leader knows of the cloud's offers.
struct Market {
  /// The machine types.
  const cloud::Catalog& catalog;
  std::function<bool(const Pool&)> is_refused;   ///< whether the pool had no capacity lately
  std::function<double(const Pool&)> loss_rate;  ///< expected losses of one machine, a second
  /// How long job arrays without accelerators will queue on the machines at hand.
  Seconds backlog{0};
};

/// Returns the machines to rent for `demand`, in the order of the first job that calls for each.
std::vector<DesiredMachines> desired_machines(const std::vector<leader::Demand>& demand,
                                              const PendingMachines& pending, const Market& market);

}  // namespace asterstair::autoscale
