#pragma once
// Reconciles the desired machines with the rented ones. Runs on the leader only.

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

#include "autoscale/desired_machines.hpp"
#include "base/runtime.hpp"
#include "base/settings.hpp"
#include "cloud/catalog.hpp"
#include "cloud/cloud.hpp"
#include "fleet/fleet.hpp"

namespace asterstair::autoscale {

class Autoscaler : public std::enable_shared_from_this<Autoscaler> {
 public:
  Autoscaler(Runtime& runtime, cloud::Cloud& cloud, const leader::Election& election,
             const Settings& settings, const cloud::Catalog& catalog,
             std::shared_ptr<fleet::Fleet> fleet);
  void start() { tick(); }
  void stop() { stopped_ = true; }

 private:
  void tick();
  void list(const std::string& after, const std::shared_ptr<std::vector<ListedMachine>>& so_far);
  void listed(const std::vector<ListedMachine>& machines);
  using CountByZone = std::map<std::string, std::size_t>;
  // What is free for new work, on machines with accelerators and on those without.
  struct FreeRoom {
    double cpus = 0, gpus = 0;
  };

  void rent();
  void rent_soon();
  void request(const Pool& pool, std::size_t count);
  void send(const wire::RentalRequest& request, int tries);
  bool refused(const Pool& pool) const;
  Market market() const;
  std::map<std::string, PendingMachine> pending_and_requested() const;
  CountByZone machines_by_zone(const std::string& type,
                               const std::map<std::string, PendingMachine>& pending) const;
  std::optional<std::string> zone_for(const DesiredMachines& desired,
                                      const std::set<Pool>& under_way,
                                      const CountByZone& there) const;

  void return_machines();
  void return_failed_boots();
  void release(const fleet::Machine& machine, TimePoint idle_since, FreeRoom& room);
  void send_returns();
  bool unusable_for_long(const fleet::Machine& machine) const;
  bool idle_for_long(const fleet::Machine& machine, TimePoint idle_since,
                     const FreeRoom& room) const;
  bool gang_waits_for(const fleet::Machine& machine) const;
  bool may_spare(const fleet::Machine& machine, const FreeRoom& room) const;
  FreeRoom free_room() const;
  Seconds boot_time(const std::string& type) const;
  Seconds backlog() const;

  Runtime& runtime_;
  cloud::Cloud& cloud_;
  const leader::Election& election_;
  const Settings& settings_;
  const cloud::Catalog& catalog_;
  std::shared_ptr<fleet::Fleet> fleet_;
  bool stopped_ = false, listing_ = false, returning_ = false, rent_due_ = false;
  std::uint64_t requests_made_ = 0;
  TimePoint last_list_{}, first_list_{}, last_consolidation_{};
  std::map<std::string, PendingMachine> pending_;
  std::map<std::string, wire::RentalRequest> requests_;  // not yet answered
  std::map<Pool, TimePoint> refused_until_;
  std::map<std::string, TimePoint> idle_since_;
  std::map<std::string, TimePoint> gone_;  // returned: lists may show them a while longer
  std::set<std::string> to_return_;
};

}  // namespace asterstair::autoscale
