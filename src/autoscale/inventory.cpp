#include "autoscale/inventory.hpp"

#include <utility>

namespace asterstair::autoscale {
namespace {

// Timeouts are this many list lags plus a margin: a list may be up to twice the list lag old, and
// older than the previous list.
constexpr int kListLagFactor = 3;
constexpr auto kMissingMargin = 10s;
// Larger for returned machines: a machine that is forgotten and then listed again would look
// orphaned.
constexpr auto kReturnedMargin = 60s;

}  // namespace

void Inventory::on_rented(const std::string& machine, const Pool& pool, TimePoint since,
                          TimePoint now) {
  if (was_returned(machine)) return;
  pending_[machine] = {pool, since, now};
}

void Inventory::on_returned(const std::string& machine, TimePoint now) {
  pending_.erase(machine);
  returned_[machine] = now;
  orphans_.resolve(machine, OrphanTracker::State::Returned);
}

void Inventory::on_list(const std::vector<ListedMachine>& machines,
                        const cluster::MachineTable& known, TimePoint now) {
  adopt_orphans(machines, known, now);
  remove_missing(known, now);
  prune_returned(now);
}

// Adds orphaned instances to the pending machines, so that they are used like any other machine.
// An instance is orphaned if the response to its rental came too late or the record of the rental
// is lost.
void Inventory::adopt_orphans(const std::vector<ListedMachine>& machines,
                              const cluster::MachineTable& known, TimePoint now) {
  listed_.clear();
  for (const auto& machine : machines) {
    listed_.insert(machine.id);
    if (was_returned(machine.id) || machine.state == ListedMachine::State::Failed) continue;
    if (known.find(machine.id) != nullptr || pending_.count(machine.id) != 0) continue;
    orphans_.add_listed(machine.id, now);
    const Pool pool{machine.type, machine.zone, machine.spot};
    pending_[machine.id] = {pool, now - to_duration(machine.age), now};
  }
}

// Removes pending machines that the cloud terminated before their first heartbeat, or that never
// appeared.
void Inventory::remove_missing(const cluster::MachineTable& known, TimePoint now) {
  const Duration timeout = settings_.list_lag * kListLagFactor + kMissingMargin;
  std::vector<std::string> missing;
  for (const auto& [machine, pending] : pending_) {
    const bool exists = is_listed(machine) || known.find(machine) != nullptr;
    if (!exists && now - pending.first_seen > timeout) missing.push_back(machine);
  }
  for (const auto& machine : missing) {
    pending_.erase(machine);
    orphans_.on_missing(machine, now);
    vanished_.push_back(machine);
  }
}

void Inventory::prune_returned(TimePoint now) {
  const Duration retention = settings_.list_lag * kListLagFactor + kReturnedMargin;
  std::erase_if(returned_, [&](const auto& entry) { return now - entry.second > retention; });
}

void Inventory::remove_joined(const cluster::MachineTable& known, TimePoint now) {
  std::vector<std::string> joined;
  for (const auto& [machine, pending] : pending_) {
    if (known.find(machine) != nullptr) joined.push_back(machine);
  }
  for (const auto& machine : joined) {
    pending_.erase(machine);
    orphans_.resolve(machine, OrphanTracker::State::InUse);
  }
  orphans_.prune(now);
}

std::vector<std::string> Inventory::take_vanished() { return std::exchange(vanished_, {}); }

}  // namespace asterstair::autoscale
