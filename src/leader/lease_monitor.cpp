#include "leader/lease_monitor.hpp"

#include <algorithm>
#include <vector>

#include "base/log.hpp"

namespace asterstair::leader {

using cluster::Machine;
using cluster::MachineTable;

void LeaseMonitor::expire_leases() {
  const auto now = context_.now();
  const Duration expiry = context_.max_worker_lease();
  for (auto& [id, machine] : cluster_.machines.all()) {
    if (!machine.lease_expired && now - machine.latest_possible_renewal > expiry) expire(machine);
  }
}

void LeaseMonitor::expire(Machine& machine) {
  machine.lease_expired = true;
  registry_.mark_stale();
  recovery_.stop_awaiting(machine.id);
  machine.first_response_at.reset();
  // Includes heartbeats with an earlier token: the lease of their epoch has expired too, since no
  // response to them renewed it later than `latest_possible_renewal`.
  machine.first_valid_epoch = std::max(machine.epoch, machine.latest_heartbeat.epoch) + 1;
  if (machine.reconciled && !machine.reclaim_at) {
    cluster_.losses.record(machine, context_.now());
  }
  log::info("machine {}: its lease has expired", machine.id);
  std::vector<cluster::TaskEvent> events;
  MachineTable::clear(machine, events);
  attempts_.apply(machine, events);
}

}  // namespace asterstair::leader
