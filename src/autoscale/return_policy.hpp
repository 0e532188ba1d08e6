#pragma once
// Which machines are to be returned, and why.

#include <map>
#include <string>
#include <vector>

#include "autoscale/inventory.hpp"
#include "base/settings.hpp"
#include "cloud/catalog.hpp"
#include "leader/term.hpp"
#include "provisioning/operation.hpp"

namespace asterstair::autoscale {

class ReturnPolicy {
 public:
  ReturnPolicy(const Settings& settings, const cloud::Catalog& catalog, leader::Term& term,
               const Inventory& inventory)
      : settings_(settings), catalog_(catalog), term_(term), inventory_(inventory) {}

  // Takes over what a list shows: machines that have stopped, and, if the term is not settled long
  // after `first_list`, those that it waits for in vain.
  void listed(const std::vector<ListedMachine>& machines, TimePoint first_list, TimePoint now);
  // Looks at all machines; drains those that are not needed.
  void update(TimePoint now);
  // Machines to be returned now, at most so many. Those that must be empty are.
  provisioning::Returns due(std::size_t most);
  void returned(const std::string& machine) { due_.erase(machine); }

 private:
  // What is free for new work, on machines with accelerators and on those without.
  struct FreeRoom {
    double cpus = 0, gpus = 0;
  };

  void find_failed_boots(TimePoint now);
  void release(const cluster::Machine& machine, TimePoint idle_since, FreeRoom& room,
               TimePoint now);
  // Why it is of no use, whatever it says of itself.
  std::optional<provisioning::ReturnReason> unusable(const cluster::Machine& machine,
                                                     TimePoint now) const;
  bool idle_for_long(const cluster::Machine& machine, TimePoint idle_since, const FreeRoom& room,
                     TimePoint now) const;
  bool gang_waits_for(const cluster::Machine& machine) const;
  bool may_spare(const cluster::Machine& machine, const FreeRoom& room) const;
  bool still_due(const std::string& machine, provisioning::ReturnReason reason) const;
  FreeRoom free_room() const;
  Seconds boot_time(const std::string& type) const;

  const Settings& settings_;
  const cloud::Catalog& catalog_;
  leader::Term& term_;
  const Inventory& inventory_;
  std::map<std::string, TimePoint> idle_since_;
  provisioning::Returns due_;
};

}  // namespace asterstair::autoscale
