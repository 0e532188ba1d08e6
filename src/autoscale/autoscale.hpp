#pragma once
// Wanted machines against rented ones. Runs on the leader only.

#include <map>
#include <memory>
#include <set>
#include <string>

#include "base/runtime.hpp"
#include "base/settings.hpp"
#include "cloud/catalog.hpp"
#include "cloud/cloud.hpp"
#include "fleet/fleet.hpp"

namespace asterstair::autoscale {

// Machines of one type, zone and kind.
struct Pool {
  std::string type, zone;
  bool spot = false;
  auto operator<=>(const Pool&) const = default;
};

struct Coming {
  Pool pool;
  TimePoint since{};  // the rental
  TimePoint seen{};   // by this leader
};

// How many machines of which type the waiting work calls for, beyond those that are coming.
struct Want {
  std::string type;
  std::size_t count = 0;
  bool spot = false;  // may be
  const JobSpec* job = nullptr;
};
std::vector<Want> wanted(const std::vector<fleet::Demand>& demand, const cloud::Catalog& catalog,
                         const std::map<std::string, Coming>& coming,
                         const std::function<bool(const Pool&)>& refused,
                         const std::function<double(const Pool&)>& loss_rate,
                         Seconds backlog = Seconds(0));

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
  void rent();
  void rent_soon();
  void send(const wire::RentalRequest& request, int tries);
  void give_back();
  bool refused(const Pool& pool) const;
  struct FreeRoom {
    double cpus = 0, gpus = 0;
  };
  bool gang_waits_for(const fleet::Machine& machine) const;
  Seconds backlog() const;
  FreeRoom free_room() const;
  bool may_spare(const fleet::Machine& machine, const FreeRoom& room) const;

  Runtime& runtime_;
  cloud::Cloud& cloud_;
  const leader::Election& election_;
  const Settings& settings_;
  const cloud::Catalog& catalog_;
  std::shared_ptr<fleet::Fleet> fleet_;
  bool stopped_ = false, listing_ = false, returning_ = false, rent_due_ = false;
  std::uint64_t requests_ = 0;
  TimePoint last_list_{}, first_list_{}, last_consolidation_{};
  std::map<std::string, Coming> coming_;              // rented, not yet reporting
  std::map<std::string, wire::RentalRequest> asked_;  // unanswered
  std::map<Pool, TimePoint> refused_until_;
  std::map<std::string, TimePoint> idle_since_;
  std::map<std::string, TimePoint> gone_;  // returned: lists may show them a while longer
  std::set<std::string> to_return_;
};

}  // namespace asterstair::autoscale
