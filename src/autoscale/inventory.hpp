#pragma once
// Machines between the cloud and the fleet: rented and not yet heard of, returned and perhaps still
// listed, and those that nobody accounts for. The cloud's lists lag and go back, so what they lack
// is believed only after a while. Pure state.

#include <map>
#include <set>
#include <string>
#include <vector>

#include "autoscale/desired_machines.hpp"
#include "base/settings.hpp"
#include "cluster/machine_table.hpp"
#include "provisioning/records.hpp"

namespace asterstair::autoscale {

class Inventory {
 public:
  explicit Inventory(const Settings& settings) : settings_(settings) {}

  void rented(const std::string& machine, const Pool& pool, TimePoint since, TimePoint now);
  void returned(const std::string& machine, TimePoint now);
  // Takes over a whole list.
  void listed(const std::vector<ListedMachine>& machines, const cluster::MachineTable& term,
              TimePoint now);
  // Machines that have been heard of are not pending any more.
  void update(const cluster::MachineTable& term, TimePoint now);

  const std::map<std::string, PendingMachine>& pending() const { return pending_; }
  // Returned: lists may show them a while longer.
  bool is_returned(const std::string& machine) const { return returned_.count(machine) != 0; }
  bool listed_last(const std::string& machine) const { return last_list_.count(machine) != 0; }
  // Rented by this or an earlier leader, and surely not there (any more).
  std::vector<std::string> take_vanished();
  // Machines that nobody accounts for, with when they were first seen; settled ones for a while.
  struct Unaccounted {
    provisioning::OrphanedInstance::State state = provisioning::OrphanedInstance::State::Waiting;
    TimePoint since{};
  };
  const std::map<std::string, Unaccounted>& unaccounted() const { return unaccounted_; }

 private:
  void add_orphan(const std::string& machine, TimePoint now);
  void settle_orphan(const std::string& machine, provisioning::OrphanedInstance::State state);

  const Settings& settings_;
  std::map<std::string, PendingMachine> pending_;
  std::map<std::string, TimePoint> returned_;
  std::set<std::string> last_list_;
  std::vector<std::string> vanished_;
  std::map<std::string, Unaccounted> unaccounted_;
};

}  // namespace asterstair::autoscale
