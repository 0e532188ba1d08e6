#include "autoscale/inventory.hpp"

#include "base/log.hpp"

namespace asterstair::autoscale {
namespace {

// A list may be as old as twice the lag, and older than the one before it.
constexpr int kListLags = 3;
constexpr auto kListExtra = 10s, kReturnedExtra = 60s;
constexpr auto kSettledKept = 10min;
constexpr std::size_t kMostUnaccounted = 100;  // shown to operators; the rest is in the log

}  // namespace

void Inventory::rented(const std::string& machine, const Pool& pool, TimePoint since,
                       TimePoint now) {
  if (is_returned(machine)) return;
  pending_[machine] = {pool, since, now};
}

void Inventory::returned(const std::string& machine, TimePoint now) {
  pending_.erase(machine);
  returned_[machine] = now;
  settle_orphan(machine, provisioning::OrphanedInstance::State::Returned);
}

void Inventory::add_orphan(const std::string& machine, TimePoint now) {
  log::info("machine {} is listed, but neither in the ledger nor in the fleet", machine);
  if (unaccounted_.size() < kMostUnaccounted) unaccounted_[machine] = {{}, now};
}

void Inventory::settle_orphan(const std::string& machine,
                              provisioning::OrphanedInstance::State state) {
  const auto it = unaccounted_.find(machine);
  if (it == unaccounted_.end() ||
      it->second.state != provisioning::OrphanedInstance::State::Waiting)
    return;
  it->second.state = state;
  log::info("machine {}, which nobody accounted for: {}", machine, provisioning::to_string(state));
}

void Inventory::listed(const std::vector<ListedMachine>& machines,
                       const cluster::MachineTable& term, TimePoint now) {
  last_list_.clear();
  for (const auto& m : machines) {
    last_list_.insert(m.id);
    if (is_returned(m.id) || m.state == ListedMachine::State::Failed) continue;
    if (term.find(m.id) != nullptr || pending_.count(m.id) != 0) continue;
    // Rented by a request thought lost, or under a operation log that is not there: used like any
    // other, and returned if it does not come up.
    add_orphan(m.id, now);
    pending_[m.id] = {{m.type, m.zone, m.spot}, now - to_duration(m.age), now};
  }
  // Taken back or given up while it was coming.
  const Duration timeout = settings_.list_lag * kListLags + kListExtra;
  for (auto it = pending_.begin(); it != pending_.end();) {
    const bool there = listed_last(it->first) || term.find(it->first) != nullptr;
    if (there || now - it->second.first_seen <= timeout) {
      ++it;
      continue;
    }
    vanished_.push_back(it->first);
    if (unaccounted_.count(it->first) != 0) {
      settle_orphan(it->first, provisioning::OrphanedInstance::State::Vanished);
    } else if (unaccounted_.size() < kMostUnaccounted) {
      unaccounted_[it->first] = {provisioning::OrphanedInstance::State::NeverAppeared, now};
    }
    it = pending_.erase(it);
  }
  std::erase_if(returned_, [&](const auto& r) {
    return now - r.second > settings_.list_lag * kListLags + kReturnedExtra;
  });
}

void Inventory::update(const cluster::MachineTable& term, TimePoint now) {
  for (auto it = pending_.begin(); it != pending_.end();) {
    if (term.find(it->first) == nullptr) {
      ++it;
      continue;
    }
    settle_orphan(it->first, provisioning::OrphanedInstance::State::InUse);
    it = pending_.erase(it);
  }
  std::erase_if(unaccounted_, [&](const auto& u) {
    return u.second.state != provisioning::OrphanedInstance::State::Waiting &&
           now - u.second.since > kSettledKept;
  });
}

std::vector<std::string> Inventory::take_vanished() { return std::exchange(vanished_, {}); }

}  // namespace asterstair::autoscale
