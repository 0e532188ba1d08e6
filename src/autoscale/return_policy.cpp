#include "autoscale/return_policy.hpp"

#include <algorithm>

#include "base/log.hpp"
#include "sched/constraints.hpp"

namespace asterstair::autoscale {
namespace {

constexpr Seconds kUnknownBoot{60};  // of a type that is not known
constexpr double kBootTimeout = 4;   // times the nominal boot time
constexpr auto kBootExtra = 20s;
constexpr double kIdleBoots = 1;     // an idle machine is kept so many boot times
constexpr int kAwaitedBoots = 5;     // longer, while a gang may be waiting for it
constexpr double kTightBoots = 2.5;  // boots may take that much longer than stated
constexpr auto kFailoverTimeout = 4s;
constexpr int kUnresponsiveLeases = 3;      // so long a machine may seem not to hear answers
constexpr auto kLeaseExpiredTimeout = 20s;  // beyond the lease, before a silent machine is returned

}  // namespace

void ReturnPolicy::listed(const std::vector<ListedMachine>& machines, TimePoint first_list,
                          TimePoint now) {
  for (const auto& m : machines) {
    if (m.state == ListedMachine::State::Failed && !inventory_.is_returned(m.id)) {
      due_[m.id] = provisioning::ReturnReason::Stopped;
    }
  }
  // A take-over waits for every machine that may hold tasks. Of those that neither report nor are
  // listed, a return tells at once that they are gone, instead of their leases running out.
  if (term_.reconciled() || now - first_list <= kFailoverTimeout) return;
  for (const auto& [id, m] : term_.machines().all()) {
    if (!m.reconciled && !m.lease_expired && !inventory_.listed_last(id)) {
      due_.emplace(id, provisioning::ReturnReason::Unlisted);
    }
  }
}

void ReturnPolicy::update(TimePoint now) {
  find_failed_boots(now);
  std::map<std::string, TimePoint> idle;
  auto room = free_room();
  for (const auto& [id, m] : term_.machines().all()) {
    if (const auto reason = unusable(m, now)) {
      due_.emplace(id, *reason);
      continue;
    }
    // What is being emptied stays closed, whatever came before.
    if (!m.reconciled || m.lease_expired || m.has_active_attempts()) continue;
    const auto since = idle_since_.find(id);
    idle[id] = since == idle_since_.end() ? now : since->second;
    release(m, idle[id], room, now);
  }
  idle_since_ = std::move(idle);
}

provisioning::Returns ReturnPolicy::due(std::size_t most) {
  std::erase_if(due_, [this](const auto& d) { return !still_due(d.first, d.second); });
  provisioning::Returns out;
  for (const auto& [machine, reason] : due_) {
    if (out.size() >= most) break;
    out[machine] = reason;
  }
  return out;
}

// Between the decision and the order a machine may have come up, or have shown tasks.
bool ReturnPolicy::still_due(const std::string& machine, provisioning::ReturnReason reason) const {
  if (provisioning::gives_up_work(reason)) return true;
  if (reason == provisioning::ReturnReason::FailedBoot) {
    return term_.machines().find(machine) == nullptr;
  }
  return term_.known_empty(machine);
}

void ReturnPolicy::find_failed_boots(TimePoint now) {
  for (const auto& [id, p] : inventory_.pending()) {
    if (term_.machines().find(id) != nullptr) continue;
    const auto boot = to_duration(boot_time(p.pool.type) * kBootTimeout) + kBootExtra;
    // A new leader first hears from the machines that are up.
    const bool failed = now - p.since > boot && now - p.first_seen > settings_.lease + kBootExtra;
    if (failed && due_.emplace(id, provisioning::ReturnReason::FailedBoot).second) {
      log::info("machine {} has not come up; returned", id);
    }
  }
}

Seconds ReturnPolicy::boot_time(const std::string& type) const {
  const auto* t = catalog_.find(type);
  return t != nullptr ? t->boot : kUnknownBoot;
}

std::optional<provisioning::ReturnReason> ReturnPolicy::unusable(const cluster::Machine& m,
                                                                 TimePoint now) const {
  if (m.health.unresponsive_since &&
      now - *m.health.unresponsive_since > settings_.lease * kUnresponsiveLeases) {
    return provisioning::ReturnReason::Unreachable;
  }
  if (m.lease_expired && now - m.last_answered > settings_.lease + kLeaseExpiredTimeout) {
    return provisioning::ReturnReason::LeaseExpired;
  }
  return std::nullopt;
}

bool ReturnPolicy::idle_for_long(const cluster::Machine& m, TimePoint idle_since,
                                 const FreeRoom& room, TimePoint now) const {
  const Duration idle = now - idle_since;
  const Duration keep = to_duration(boot_time(m.type) * kIdleBoots);
  if (!term_.reconciled() || idle <= keep) return false;
  if (idle <= keep * kAwaitedBoots && gang_waits_for(m)) return false;
  return may_spare(m, room);
}

// An idle machine is drained first, and returned once a later turn still finds it without tasks:
// exited tasks wait for their results to be durable.
void ReturnPolicy::release(const cluster::Machine& m, TimePoint idle_since, FreeRoom& room,
                           TimePoint now) {
  using provisioning::ReturnReason;
  if (m.service != cluster::Machine::Service::InUse) {
    if (m.attempts.empty()) {
      due_.emplace(m.id, m.health.faulty ? ReturnReason::Faulty : ReturnReason::Idle);
    }
    return;
  }
  if (!m.health.faulty && !idle_for_long(m, idle_since, room, now)) return;
  term_.drain(m.id);
  // No longer there for what may come.
  const auto* type = catalog_.find(m.type);
  if (type == nullptr) return;
  if (type->gpus > 0) {
    room.gpus -= type->gpus;
  } else {
    room.cpus -= type->cpus;
  }
}

// Whether enough room stays free without the machine for what may arrive before another could be
// up: work that cannot wait for a boot.
bool ReturnPolicy::may_spare(const cluster::Machine& machine, const FreeRoom& room) const {
  const auto* type = catalog_.find(machine.type);
  if (type == nullptr) return true;
  const bool gpu = type->gpus > 0;
  double expected = 0;
  for (const auto& a : term_.arrivals()) {
    if ((a.job->gpus > 0) != gpu || !a.job->allows_type(machine.type)) continue;
    if (a.slack >= kTightBoots * type->boot.count()) continue;
    expected += a.job->tasks * (gpu ? a.job->gpus : a.job->cpus);
  }
  expected *= type->boot.count() / seconds(leader::kArrivalWindow);
  // The machine itself is idle: its room is all free.
  return gpu ? room.gpus - type->gpus >= expected : room.cpus - type->cpus >= expected;
}

// Whether a gang waits that this machine could serve once others have come: returned one by one as
// they idle, the machines of a gang would never be there together.
bool ReturnPolicy::gang_waits_for(const cluster::Machine& machine) const {
  const auto* type = catalog_.find(machine.type);
  if (type == nullptr) return false;
  sched::PlanMachine m;
  m.type = type;
  m.zone = machine.zone;
  m.spot = machine.spot;
  const auto& demand = term_.demand();
  return std::any_of(demand.begin(), demand.end(), [&](const leader::Demand& d) {
    return d.job->gang() && sched::allowed_on(*d.job, m) && type->fits(*d.job) > 0;
  });
}

ReturnPolicy::FreeRoom ReturnPolicy::free_room() const {
  FreeRoom out;
  for (const auto& [id, m] : term_.machines().all()) {
    const auto* t = catalog_.find(m.type);
    if (t == nullptr || !term_.usable(m)) continue;
    if (t->gpus > 0) {
      out.gpus += t->gpus - m.usage.used.gpus;
    } else {
      out.cpus += t->cpus - m.usage.used.cpus;
    }
  }
  return out;
}

}  // namespace asterstair::autoscale
