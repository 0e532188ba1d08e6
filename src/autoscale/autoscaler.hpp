#pragma once
/// @file
/// Control loop that reconciles the rented machines with the demand. Created by Node for each term
/// of leadership.

#include <memory>
#include <vector>

#include "autoscale/inventory.hpp"
#include "autoscale/machine_lister.hpp"
#include "autoscale/scale_in.hpp"
#include "autoscale/scale_out.hpp"
#include "base/runtime.hpp"
#include "base/settings.hpp"
#include "base/stoppable.hpp"
#include "cloud/catalog.hpp"
#include "cloud/cloud.hpp"
#include "leader/term.hpp"
#include "provisioning/provisioning_controller.hpp"

namespace asterstair::autoscale {

/// Owns the components of the autoscaler, runs them once a second, and passes machine lists and
/// operation results to them.
class Autoscaler : public Stoppable<Autoscaler> {
 public:
  /// Begins a term of the provisioning controller.
  Autoscaler(Runtime& runtime, cloud::Cloud& cloud,
             provisioning::ProvisioningController& provisioning, const Settings& settings,
             const cloud::Catalog& catalog, std::shared_ptr<leader::Term> term);

  /// Recovers the operations of earlier leaders and starts the loop. Reports the returns among them
  /// to the term, see leader::Term::on_open_returns_known().
  void start();
  /// Stops the loop and the listing in progress.
  void stop();

 private:
  void tick();
  provisioning::OperationRunner::Events operation_events();
  void list_machines();
  void on_list(const std::vector<ListedMachine>& machines);
  void resolve_machines();
  bool is_resolved(const std::string& machine) const;
  void schedule_scale_out();
  void publish_orphans();

  Runtime& runtime_;
  provisioning::ProvisioningController& provisioning_;
  const cloud::Catalog& catalog_;
  std::shared_ptr<leader::Term> term_;
  std::shared_ptr<provisioning::OperationRunner> operations_;
  Inventory inventory_;
  std::shared_ptr<MachineLister> lister_;
  ScaleOut scale_out_;
  ScaleIn scale_in_;
  bool scale_out_scheduled_ = false;
};

}  // namespace asterstair::autoscale
