#include "autoscale/scale_out.hpp"

#include <algorithm>

namespace asterstair::autoscale {
namespace {

// After a pool lacked capacity, no machines are requested from it for this long.
constexpr auto kRefusalBackoff = 15s;

}  // namespace

void ScaleOut::run() {
  if (!operations_.may_begin()) return;
  inventory_.remove_joined(term_.machines(), runtime_.now());
  Round round = begin_round();
  for (const auto& desired : desired_machines(term_.demand(), round.pending, market())) {
    if (!request(desired, round)) return;
  }
}

ScaleOut::Round ScaleOut::begin_round() const {
  const auto now = runtime_.now();
  Round round;
  round.pending = inventory_.pending();
  for (const auto& [name, operation] : operations_.pending_operations()) {
    if (operation.kind != provisioning::OperationKind::Rent) continue;
    const Pool pool = pool_of(operation.rental);
    round.requested.insert(pool);
    for (std::size_t i = 0; i < operation.rental.count; ++i) {
      round.pending[name + "/" + std::to_string(i)] = {pool, now, now};
    }
  }
  return round;
}

// Sends as many requests as the cloud's rate limit allows, so that an empty cluster is filled in a
// few rounds. Returns false once no further request may be sent.
bool ScaleOut::request(const DesiredMachines& desired, Round& round) {
  const auto [entry, added] = round.counts.try_emplace(desired.type);
  CountByZone& counts = entry->second;
  if (added) counts = count_by_zone(desired.type, round.pending);
  for (std::size_t remaining_count = desired.count; remaining_count > 0;) {
    if (!cloud_.may_call() || !operations_.may_begin()) return false;
    const auto zone = choose_zone(desired, round.requested, counts);
    if (!zone) break;
    const auto count = std::min(remaining_count, wire::kMaxMachinesPerRental);
    operations_.rent({desired.type, *zone, desired.spot, count});
    round.requested.insert({desired.type, *zone, desired.spot});
    counts[*zone] += count;
    remaining_count -= count;
  }
  return true;
}

// Prefers the zone with the fewest machines of the type, since machines of one zone tend to be lost
// together. A pool has at most one request in flight, so that the machines it cannot supply are
// requested from another pool next.
std::optional<std::string> ScaleOut::choose_zone(const DesiredMachines& desired,
                                                 const std::set<Pool>& requested,
                                                 const CountByZone& counts) const {
  std::optional<std::string> best;
  std::size_t fewest = 0;
  for (const auto& zone : desired.zones) {
    const Pool pool{desired.type, zone, desired.spot};
    if (is_refused(pool) || requested.count(pool) != 0) continue;
    const auto it = counts.find(zone);
    const std::size_t count = it == counts.end() ? 0 : it->second;
    if (best && count >= fewest) continue;
    best = zone;
    fewest = count;
  }
  return best;
}

ScaleOut::CountByZone ScaleOut::count_by_zone(const std::string& type,
                                              const PendingMachines& pending) const {
  CountByZone out;
  for (const auto& [id, machine] : term_.machines().all()) {
    const bool present = machine.reconciled && !machine.lease_expired;
    if (machine.type == type && present) ++out[machine.zone];
  }
  for (const auto& [id, machine] : pending) {
    if (machine.pool.type == type) ++out[machine.pool.zone];
  }
  return out;
}

Market ScaleOut::market() const {
  return {catalog_, [this](const Pool& pool) { return is_refused(pool); },
          [this, now = runtime_.now(), sizes = term_.group_sizes()](const Pool& pool) {
            return loss_rate(pool, now, sizes);
          },
          backlog()};
}

double ScaleOut::loss_rate(const Pool& pool, TimePoint now,
                           const cluster::GroupSizes& group_sizes) const {
  const auto size = group_sizes.find({pool.zone, pool.spot});
  return term_.losses().rate({pool.zone, pool.spot}, size == group_sizes.end() ? 1 : size->second,
                             now);
}

// Estimates how long the job arrays without accelerators will queue on the existing machines. It
// cannot be estimated before the first pending machine is up.
Seconds ScaleOut::backlog() const {
  double cpu_seconds = 0;
  for (const auto& demand : term_.demand()) {
    if (demand.job->gpus > 0 || demand.job->gang()) continue;
    cpu_seconds += demand.tasks * demand.job->cpus * demand.remaining.count();
  }
  if (cpu_seconds <= 0) return Seconds(0);
  double cpus = 0;
  for (const auto& [id, machine] : term_.machines().all()) {
    const auto* type = catalog_.find(machine.type);
    if (type != nullptr && machine.reconciled && !machine.lease_expired) cpus += type->cpus;
  }
  if (cpus > 0) return Seconds(cpu_seconds / cpus);
  return begin_round().pending.empty() ? Seconds::max() : Seconds(0);
}

bool ScaleOut::is_refused(const Pool& pool) const {
  const auto it = refused_until_.find(pool);
  return it != refused_until_.end() && runtime_.now() < it->second;
}

void ScaleOut::on_capacity_refused(const Pool& pool) {
  refused_until_[pool] = runtime_.now() + kRefusalBackoff;
}

void ScaleOut::on_granted(const provisioning::Operation& operation) {
  const auto now = runtime_.now();
  const Pool pool = pool_of(operation.rental);
  // `begun` of an earlier leader's rental is on that leader's wall clock, which may be ahead of
  // this node's.
  const auto age = std::chrono::duration_cast<Duration>(runtime_.wall() - operation.begun);
  const TimePoint since = now - std::max(age, Duration::zero());
  for (const auto& machine : operation.machines) inventory_.on_rented(machine, pool, since, now);
  if (operation.machines.size() < operation.rental.count) on_capacity_refused(pool);
}

void ScaleOut::on_not_granted(const provisioning::Operation& operation) {
  const bool refused = operation.state == provisioning::OperationState::Refused;
  if (refused) on_capacity_refused(pool_of(operation.rental));
}

}  // namespace asterstair::autoscale
