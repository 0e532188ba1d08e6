#include "autoscale/return_policy.hpp"

#include <algorithm>

#include "base/log.hpp"
#include "sched/constraints.hpp"

namespace asterstair::autoscale {
namespace {

using provisioning::ReturnReason;

// Assumed boot time of a type that is not in the catalog.
constexpr Seconds kDefaultBootTime{60};
// The boot timeout is this many nominal boot times of the type plus a margin for the first
// heartbeat.
constexpr double kBootTimeoutBoots = 4;
constexpr auto kBootTimeoutMargin = 20s;
// An idle machine is kept for this many boot times, the time that a replacement would take, and
// kGangIdleFactor times as long while a gang may need it.
constexpr double kIdleTimeoutBoots = 1;
constexpr int kGangIdleFactor = 5;
// Work with less slack than this many boot times cannot wait for a new machine: a boot may take
// this many times its nominal duration.
constexpr double kLowSlackBoots = 2.5;
// A new leader waits this long after its first list before it returns unlisted machines.
constexpr auto kUnlistedTimeout = 4s;
// A machine that seems not to receive responses is returned after this many lease durations.
constexpr int kUnresponsiveLeases = 3;
// A machine whose lease has expired is returned this long after the expiry.
constexpr auto kLeaseExpiredTimeout = 20s;

}  // namespace

void ReturnPolicy::on_list(const std::vector<ListedMachine>& machines, TimePoint first_list,
                           TimePoint now) {
  for (const auto& machine : machines) {
    const bool failed = machine.state == ListedMachine::State::Failed;
    if (failed && !inventory_.was_returned(machine.id)) due_[machine.id] = ReturnReason::Stopped;
  }
  // A new leader waits for every machine that may hold tasks. If a machine neither sends heartbeats
  // nor is listed, the confirmation of its return proves that it is terminated, sooner than its
  // lease expires.
  if (term_.reconciled() || now - first_list <= kUnlistedTimeout) return;
  for (const auto& [id, machine] : term_.machines().all()) {
    const bool awaited = !machine.reconciled && !machine.lease_expired;
    if (awaited && !inventory_.is_listed(id)) due_.emplace(id, ReturnReason::Unlisted);
  }
}

void ReturnPolicy::evaluate(TimePoint now) {
  find_failed_boots(now);
  std::map<std::string, TimePoint> idle_since;
  auto room = free_room();
  for (const auto& [id, machine] : term_.machines().all()) {
    if (const auto reason = reason_unusable(machine, now)) {
      due_.emplace(id, *reason);
      continue;
    }
    if (!machine.reconciled || machine.lease_expired || machine.has_active_attempts()) continue;
    const auto previous = idle_since_.find(id);
    const TimePoint since = previous == idle_since_.end() ? now : previous->second;
    idle_since[id] = since;
    drain_or_return(machine, since, room, now);
  }
  idle_since_ = std::move(idle_since);
}

provisioning::Returns ReturnPolicy::due_returns(std::size_t limit) {
  std::erase_if(due_, [this](const auto& due) { return !is_still_due(due.first, due.second); });
  provisioning::Returns out;
  for (const auto& [machine, reason] : due_) {
    if (out.size() >= limit) break;
    out[machine] = reason;
  }
  return out;
}

// A machine may have booted or reported tasks since it became due.
bool ReturnPolicy::is_still_due(const std::string& machine, ReturnReason reason) const {
  if (provisioning::gives_up_work(reason)) return true;
  if (reason == ReturnReason::FailedBoot) return term_.machines().find(machine) == nullptr;
  return term_.known_empty(machine);
}

void ReturnPolicy::find_failed_boots(TimePoint now) {
  for (const auto& [id, pending] : inventory_.pending()) {
    if (term_.machines().find(id) != nullptr) continue;
    const auto boot_timeout =
        to_duration(boot_time(pending.pool.type) * kBootTimeoutBoots) + kBootTimeoutMargin;
    // Machines that are already running need time to send a new leader their first heartbeat.
    const bool observed_long_enough =
        now - pending.first_seen > settings_.lease + kBootTimeoutMargin;
    if (now - pending.since <= boot_timeout || !observed_long_enough) continue;
    const bool added = due_.emplace(id, ReturnReason::FailedBoot).second;
    if (added) log::info("machine {} exceeded its boot timeout; it is returned", id);
  }
}

Seconds ReturnPolicy::boot_time(const std::string& type) const {
  const auto* known = catalog_.find(type);
  return known != nullptr ? known->boot : kDefaultBootTime;
}

// Returns why the machine is unusable, whatever its heartbeats report; nothing if it is usable.
std::optional<ReturnReason> ReturnPolicy::reason_unusable(const cluster::Machine& machine,
                                                          TimePoint now) const {
  const auto& unresponsive_since = machine.health.unresponsive_since;
  if (unresponsive_since && now - *unresponsive_since > settings_.lease * kUnresponsiveLeases) {
    return ReturnReason::Unreachable;
  }
  const Duration expired_timeout = settings_.lease + kLeaseExpiredTimeout;
  if (machine.lease_expired && now - machine.latest_possible_renewal > expired_timeout) {
    return ReturnReason::LeaseExpired;
  }
  return std::nullopt;
}

// Drains a machine that is faulty or surplus. A later evaluation declares it due once it has no
// attempts: exited attempts stay until their results are durable.
void ReturnPolicy::drain_or_return(const cluster::Machine& machine, TimePoint idle_since,
                                   FreeRoom& room, TimePoint now) {
  if (machine.service != cluster::Machine::Service::InUse) {
    const auto reason = machine.health.faulty ? ReturnReason::Faulty : ReturnReason::Idle;
    if (machine.attempts.empty()) due_.emplace(machine.id, reason);
    return;
  }
  if (!machine.health.faulty && !is_surplus(machine, idle_since, room, now)) return;
  term_.drain(machine.id);
  // Machines that are evaluated next must not count on this machine's free room.
  const auto* type = catalog_.find(machine.type);
  if (type == nullptr) return;
  if (type->gpus > 0) {
    room.gpus -= type->gpus;
  } else {
    room.cpus -= type->cpus;
  }
}

// Whether the machine has been idle for long and no work is expected to need it.
bool ReturnPolicy::is_surplus(const cluster::Machine& machine, TimePoint idle_since,
                              const FreeRoom& room, TimePoint now) const {
  const Duration idle = now - idle_since;
  const Duration idle_timeout = to_duration(boot_time(machine.type) * kIdleTimeoutBoots);
  if (!term_.reconciled() || idle <= idle_timeout) return false;
  if (idle <= idle_timeout * kGangIdleFactor && gang_may_need(machine)) return false;
  return is_redundant(machine, room);
}

// Whether the other machines have enough free room for work that cannot wait for a boot.
bool ReturnPolicy::is_redundant(const cluster::Machine& machine, const FreeRoom& room) const {
  const auto* type = catalog_.find(machine.type);
  if (type == nullptr) return true;
  const double expected = expected_arrivals(*type);
  // The machine is idle, so all of its room is part of the free room.
  return type->gpus > 0 ? room.gpus - type->gpus >= expected : room.cpus - type->cpus >= expected;
}

// Estimates the CPUs, or for an accelerator type the accelerators, that work with little slack will
// need within one boot time of the type, at the rate of recent arrivals.
double ReturnPolicy::expected_arrivals(const MachineType& type) const {
  const bool gpu = type.gpus > 0;
  double arrived = 0;
  for (const auto& arrival : term_.arrivals()) {
    const JobSpec& job = *arrival.job;
    if ((job.gpus > 0) != gpu || !job.allows_type(type.name)) continue;
    if (arrival.slack >= kLowSlackBoots * type.boot.count()) continue;
    arrived += job.tasks * (gpu ? job.gpus : job.cpus);
  }
  return arrived * (type.boot.count() / seconds(leader::kArrivalWindow));
}

// Whether a waiting gang could run on this machine together with others. If machines were returned
// one by one as they become idle, a gang would never find enough of them at the same time.
bool ReturnPolicy::gang_may_need(const cluster::Machine& machine) const {
  const auto* type = catalog_.find(machine.type);
  if (type == nullptr) return false;
  sched::PlanMachine candidate;
  candidate.type = type;
  candidate.zone = machine.zone;
  candidate.spot = machine.spot;
  const auto& all_demand = term_.demand();
  return std::any_of(all_demand.begin(), all_demand.end(), [&](const leader::Demand& demand) {
    const JobSpec& job = *demand.job;
    return job.gang() && sched::allowed_on(job, candidate) && type->max_tasks(job) > 0;
  });
}

ReturnPolicy::FreeRoom ReturnPolicy::free_room() const {
  FreeRoom out;
  for (const auto& [id, machine] : term_.machines().all()) {
    const auto* type = catalog_.find(machine.type);
    if (type == nullptr || !term_.schedulable(machine)) continue;
    if (type->gpus > 0) {
      out.gpus += type->gpus - machine.usage.used.gpus;
    } else {
      out.cpus += type->cpus - machine.usage.used.cpus;
    }
  }
  return out;
}

}  // namespace asterstair::autoscale
