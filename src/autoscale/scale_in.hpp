#pragma once
/// @file
/// Returns machines that are not needed or unusable. Owned by Autoscaler.

#include <vector>

#include "autoscale/inventory.hpp"
#include "autoscale/return_policy.hpp"
#include "base/runtime.hpp"
#include "base/settings.hpp"
#include "cloud/catalog.hpp"
#include "cloud/cloud.hpp"
#include "leader/term.hpp"
#include "provisioning/operation_runner.hpp"

namespace asterstair::autoscale {

/// Executes the returns that ReturnPolicy decides on, and has the leader consolidate machines with
/// costly idle resources.
class ScaleIn {
 public:
  /// All references must outlive this object.
  ScaleIn(Runtime& runtime, cloud::Cloud& cloud, const Settings& settings,
          const cloud::Catalog& catalog, leader::Term& term,
          provisioning::OperationRunner& operations, Inventory& inventory)
      : runtime_(runtime),
        cloud_(cloud),
        term_(term),
        operations_(operations),
        inventory_(inventory),
        policy_(settings, catalog, term, inventory) {}

  /// Drains, returns and consolidates machines. The caller must have checked that the lease is
  /// valid.
  void run();
  /// Applies a complete list of the cloud's machines. `first_list` is the time at which this
  /// leader's first list was complete.
  void on_list(const std::vector<ListedMachine>& machines, TimePoint first_list);
  /// Called when the cloud has confirmed a return that this leader or an earlier one began.
  void on_returned(const provisioning::Operation& operation);

 private:
  void return_due_machines();
  void consolidate();
  bool work_arrived_for(const cluster::Machine& machine, TimePoint now) const;

  Runtime& runtime_;
  cloud::Cloud& cloud_;
  leader::Term& term_;
  provisioning::OperationRunner& operations_;
  Inventory& inventory_;
  ReturnPolicy policy_;
  TimePoint last_consolidation_{};
};

}  // namespace asterstair::autoscale
