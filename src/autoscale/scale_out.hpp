#pragma once
/// @file
/// Rents machines for waiting work. Owned by Autoscaler.

#include <map>
#include <optional>
#include <set>
#include <string>

#include "autoscale/desired_machines.hpp"
#include "autoscale/inventory.hpp"
#include "autoscale/pool.hpp"
#include "base/runtime.hpp"
#include "cloud/catalog.hpp"
#include "cloud/cloud.hpp"
#include "leader/term.hpp"
#include "provisioning/operation_runner.hpp"

namespace asterstair::autoscale {

/// Requests the machines that the demand needs beyond the pending machines, spread over zones.
class ScaleOut {
 public:
  /// All references must outlive this object.
  ScaleOut(Runtime& runtime, cloud::Cloud& cloud, const cloud::Catalog& catalog, leader::Term& term,
           provisioning::OperationRunner& operations, Inventory& inventory)
      : runtime_(runtime),
        cloud_(cloud),
        catalog_(catalog),
        term_(term),
        operations_(operations),
        inventory_(inventory) {}

  /// Requests the machines that are missing, as far as the cloud's rate limit allows. The caller
  /// must have checked that the lease is valid.
  void run();
  /// Called when a rental that this leader or an earlier one began was granted.
  void on_granted(const provisioning::Operation& operation);
  /// Called when a rental was refused or withdrawn.
  void on_not_granted(const provisioning::Operation& operation);

 private:
  using CountByZone = std::map<std::string, std::size_t>;
  /// State of one run().
  struct Round {
    PendingMachines pending;   ///< granted, or requested without a response yet
    std::set<Pool> requested;  ///< pools with a request in flight
    /// Machines that exist, are pending or were requested in this round, by type and zone.
    std::map<std::string, CountByZone> counts;
  };

  Round begin_round() const;
  bool request(const DesiredMachines& desired, Round& round);
  void on_capacity_refused(const Pool& pool);
  bool is_refused(const Pool& pool) const;
  Market market() const;
  double loss_rate(const Pool& pool, TimePoint now, const cluster::GroupSizes& group_sizes) const;
  Seconds backlog() const;
  CountByZone count_by_zone(const std::string& type, const PendingMachines& pending) const;
  std::optional<std::string> choose_zone(const DesiredMachines& desired,
                                         const std::set<Pool>& requested,
                                         const CountByZone& counts) const;

  Runtime& runtime_;
  cloud::Cloud& cloud_;
  const cloud::Catalog& catalog_;
  leader::Term& term_;
  provisioning::OperationRunner& operations_;
  Inventory& inventory_;
  std::map<Pool, TimePoint> refused_until_;  ///< end of the backoff, by pool without capacity
};

}  // namespace asterstair::autoscale
