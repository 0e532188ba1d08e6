#pragma once
// How many machines of which type the waiting work calls for, beyond those that are pending: a pure
// function.

#include <functional>
#include <map>
#include <string>
#include <vector>

#include "cloud/catalog.hpp"
#include "leader/term.hpp"

namespace asterstair::autoscale {

// Machines of one type, zone and kind.
struct Pool {
  std::string type, zone;
  bool spot = false;
  auto operator<=>(const Pool&) const = default;
};

// Rented, and not yet heard of.
struct PendingMachine {
  Pool pool;
  TimePoint since{};       // the rental
  TimePoint first_seen{};  // by this leader
};

struct DesiredMachines {
  std::string type;
  std::size_t count = 0;
  bool spot = false;             // may be spot machines
  const JobSpec* job = nullptr;  // the first that calls for them: its zone rules hold
};

// What is known of the cloud.
struct Market {
  const cloud::Catalog& catalog;
  std::function<bool(const Pool&)> refused;      // lately, for want of capacity
  std::function<double(const Pool&)> loss_rate;  // a second
  // How long the arrays that need no accelerator will queue, as things are.
  Seconds backlog{0};
};

std::vector<DesiredMachines> desired_machines(const std::vector<leader::Demand>& demand,
                                              const std::map<std::string, PendingMachine>& pending,
                                              const Market& market);

}  // namespace asterstair::autoscale
