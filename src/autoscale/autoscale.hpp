#pragma once
// Reconciles the desired machines with the rented ones. Runs on the leader only.

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

#include "autoscale/desired_machines.hpp"
#include "autoscale/inventory.hpp"
#include "autoscale/return_policy.hpp"
#include "base/runtime.hpp"
#include "base/settings.hpp"
#include "cloud/catalog.hpp"
#include "cloud/cloud.hpp"
#include "leader/term.hpp"
#include "provisioning/provisioning_controller.hpp"

namespace asterstair::autoscale {

class Autoscaler : public std::enable_shared_from_this<Autoscaler> {
 public:
  // Begins a term of the duties, and tells the fleet of returns that earlier leaders began.
  Autoscaler(Runtime& runtime, cloud::Cloud& cloud,
             provisioning::ProvisioningController& provisioning, const Settings& settings,
             const cloud::Catalog& catalog, std::shared_ptr<leader::Term> term);
  void start();
  void stop() { stopped_ = true; }

 private:
  void tick();
  void list_machines();
  void list(const std::string& after, const std::shared_ptr<std::vector<ListedMachine>>& so_far);
  void listed(const std::vector<ListedMachine>& machines);
  void consolidate();
  provisioning::OperationRunner::Events operation_events();
  void granted(const provisioning::Operation& operation);
  void refused(const provisioning::Operation& operation);
  void returned(const provisioning::Operation& operation);
  void settle_machines();
  void publish_orphans();

  using CountByZone = std::map<std::string, std::size_t>;
  void rent();
  void rent_soon();
  bool refused_lately(const Pool& pool) const;
  Market market() const;
  std::map<std::string, PendingMachine> pending_and_requested() const;
  CountByZone machines_by_zone(const std::string& type,
                               const std::map<std::string, PendingMachine>& pending) const;
  std::optional<std::string> zone_for(const DesiredMachines& desired,
                                      const std::set<Pool>& under_way,
                                      const CountByZone& there) const;
  Seconds backlog() const;
  void send_returns();

  Runtime& runtime_;
  cloud::Cloud& cloud_;
  provisioning::ProvisioningController& provisioning_;
  const cloud::Catalog& catalog_;
  std::shared_ptr<leader::Term> term_;
  std::shared_ptr<provisioning::OperationRunner> operations_;
  Inventory inventory_;
  ReturnPolicy return_policy_;
  bool stopped_ = false, listing_ = false, rent_due_ = false;
  TimePoint last_list_{}, first_list_{}, last_consolidation_{};
  std::map<Pool, TimePoint> refused_until_;
};

}  // namespace asterstair::autoscale
