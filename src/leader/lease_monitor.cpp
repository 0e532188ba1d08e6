#include "leader/lease_monitor.hpp"

#include <algorithm>
#include <vector>

#include "base/log.hpp"

namespace asterstair::leader {

using cluster::Machine;
using cluster::MachineTable;

namespace {

// Minimum time between two questions, which also spaces out the retries while the state service
// fails.
constexpr auto kConfirmationInterval = 200ms;

}  // namespace

void LeaseMonitor::expire_leases() {
  bool any_unconfirmed = recovery_.awaits_confirmation();
  for (auto& [id, machine] : cluster_.machines.all()) {
    if (machine.lease_expired) continue;
    if (context_.worker_lease_expired(machine.latest_possible_renewal)) {
      expire(machine);
    } else if (context_.worker_lease_timed_out(machine.latest_possible_renewal)) {
      any_unconfirmed = true;
    }
  }
  if (any_unconfirmed) request_confirmation();
}

// One question at a time: its answer covers all leases that had timed out when it was sent.
void LeaseMonitor::request_confirmation() {
  const auto now = context_.now();
  if (confirmation_pending_ || now < next_confirmation_) return;
  confirmation_pending_ = true;
  next_confirmation_ = now + kConfirmationInterval;
  election_.confirm(context_.while_alive([this] {
    confirmation_pending_ = false;
    on_confirmed_();
  }));
}

void LeaseMonitor::expire(Machine& machine) {
  machine.lease_expired = true;
  registry_.mark_stale();
  recovery_.stop_awaiting(machine.id);
  machine.first_response_at.reset();
  // Includes heartbeats with an earlier token: the lease of their epoch has expired too, since no
  // response to them renewed it later than `latest_possible_renewal`, and no successor's response
  // came before the expiry.
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
