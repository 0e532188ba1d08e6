#include "autoscale/scale_in.hpp"

#include <algorithm>

namespace asterstair::autoscale {
namespace {

constexpr auto kConsolidationInterval = 3s;
// A machine is not consolidated if work for its type has arrived within this time: while work keeps
// arriving, the machine's resources will be needed again.
constexpr auto kQuietPeriod = 20s;

}  // namespace

void ScaleIn::run() {
  policy_.evaluate(runtime_.now());
  return_due_machines();
  consolidate();
}

void ScaleIn::on_list(const std::vector<ListedMachine>& machines, TimePoint first_list) {
  policy_.on_list(machines, first_list, runtime_.now());
}

// One return operation is in flight at a time. Once it is recorded, no leader assigns work to its
// machines: this leader because of Term::begin_return(), later leaders because they read the
// operation log.
void ScaleIn::return_due_machines() {
  if (operations_.has_pending_return() || !operations_.may_begin() || !cloud_.may_call()) return;
  const auto returns = policy_.due_returns(wire::kMaxMachinesPerReturn);
  if (returns.empty()) return;
  for (const auto& [machine, reason] : returns) term_.begin_return(machine);
  operations_.return_machines(returns);
}

void ScaleIn::on_returned(const provisioning::Operation& operation) {
  const auto now = runtime_.now();
  for (const auto& [machine, reason] : operation.returns) {
    inventory_.on_returned(machine, now);
    policy_.on_returned(machine);
    operations_.resolve_machine(machine);
    term_.on_machine_terminated(machine);
  }
}

void ScaleIn::consolidate() {
  const auto now = runtime_.now();
  if (now - last_consolidation_ < kConsolidationInterval) return;
  last_consolidation_ = now;
  term_.consolidate(
      [this, now](const cluster::Machine& machine) { return !work_arrived_for(machine, now); });
}

bool ScaleIn::work_arrived_for(const cluster::Machine& machine, TimePoint now) const {
  const auto& arrivals = term_.arrivals();
  return std::any_of(arrivals.begin(), arrivals.end(), [&](const leader::Arrival& arrival) {
    return arrival.job->allows_type(machine.type) && now - arrival.at < kQuietPeriod;
  });
}

}  // namespace asterstair::autoscale
