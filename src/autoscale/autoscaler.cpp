#include "autoscale/autoscaler.hpp"

namespace asterstair::autoscale {
namespace {

constexpr auto kTickInterval = 1s;
constexpr Duration kListInterval = 5s;
// Interval while the leader waits for machines that may hold tasks: a list shows which of them no
// longer exist.
constexpr Duration kUnreconciledListInterval = 2s;
// Delay from the result of a rental to the next scale-out, so that the results of requests that
// were sent together are handled together.
constexpr auto kScaleOutDelay = 200ms;

}  // namespace

Autoscaler::Autoscaler(Runtime& runtime, cloud::Cloud& cloud,
                       provisioning::ProvisioningController& provisioning, const Settings& settings,
                       const cloud::Catalog& catalog, std::shared_ptr<leader::Term> term)
    : runtime_(runtime),
      provisioning_(provisioning),
      catalog_(catalog),
      term_(std::move(term)),
      operations_(provisioning.begin_term()),
      inventory_(settings),
      lister_(std::make_shared<MachineLister>(runtime, cloud)),
      scale_out_(runtime, cloud, catalog, *term_, *operations_, inventory_),
      scale_in_(runtime, cloud, settings, catalog, *term_, *operations_, inventory_) {}

void Autoscaler::start() {
  operations_->start(operation_events(), [term = term_] { term->on_open_returns_known(); });
  tick();
}

void Autoscaler::stop() {
  Stoppable::stop();
  lister_->stop();
}

provisioning::OperationRunner::Events Autoscaler::operation_events() {
  using provisioning::Operation;
  provisioning::OperationRunner::Events events;
  events.on_inherited_return = while_running([](Autoscaler& self, const Operation& operation) {
    for (const auto& [machine, reason] : operation.returns) self.term_->begin_return(machine);
  });
  events.on_granted = while_running([](Autoscaler& self, const Operation& operation) {
    self.scale_out_.on_granted(operation);
    self.schedule_scale_out();
  });
  events.on_not_granted = while_running([](Autoscaler& self, const Operation& operation) {
    self.scale_out_.on_not_granted(operation);
    self.schedule_scale_out();
  });
  events.on_returned = while_running(
      [](Autoscaler& self, const Operation& operation) { self.scale_in_.on_returned(operation); });
  return events;
}

void Autoscaler::tick() {
  runtime_.after(kTickInterval, while_running([](Autoscaler& self) { self.tick(); }));
  if (!provisioning_.lease_valid() || !term_->recovered() || !catalog_.known()) return;
  list_machines();
  resolve_machines();
  scale_in_.run();
  publish_orphans();
  // The list shows the machines that an earlier leader rented. Without it they would be rented
  // again.
  if (lister_->has_completed() && term_->reconciled()) scale_out_.run();
}

void Autoscaler::list_machines() {
  const auto interval = term_->reconciled() ? kListInterval : kUnreconciledListInterval;
  lister_->list_if_due(interval,
                       while_running([](Autoscaler& self, const std::vector<ListedMachine>& list) {
                         self.on_list(list);
                       }));
}

void Autoscaler::on_list(const std::vector<ListedMachine>& machines) {
  inventory_.on_list(machines, term_->machines(), runtime_.now());
  scale_in_.on_list(machines, lister_->first_completed());
  for (const auto& machine : inventory_.take_vanished()) operations_->resolve_machine(machine);
}

void Autoscaler::resolve_machines() {
  inventory_.remove_joined(term_->machines(), runtime_.now());
  std::vector<std::string> resolved;
  for (const auto& [machine, operation] : operations_->unresolved_machines()) {
    if (is_resolved(machine)) resolved.push_back(machine);
  }
  for (const auto& machine : resolved) operations_->resolve_machine(machine);
}

// A machine that the leader knows is resolved once it is in the machine registry, which later
// leaders load. A machine that the leader does not know is resolved unless it is still pending.
bool Autoscaler::is_resolved(const std::string& machine) const {
  const auto* known = term_->machines().find(machine);
  if (known != nullptr) return known->registered;
  return inventory_.pending().count(machine) == 0;
}

// Requests the machines that are still missing after a rental has its result.
void Autoscaler::schedule_scale_out() {
  if (scale_out_scheduled_) return;
  scale_out_scheduled_ = true;
  runtime_.after(kScaleOutDelay, while_running([](Autoscaler& self) {
                   self.scale_out_scheduled_ = false;
                   if (self.provisioning_.lease_valid()) self.scale_out_.run();
                 }));
}

void Autoscaler::publish_orphans() {
  provisioning_.publish_orphans(inventory_.orphans().snapshot(runtime_.now(), runtime_.wall()));
}

}  // namespace asterstair::autoscale
