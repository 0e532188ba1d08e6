#include "autoscale/autoscale.hpp"

#include <algorithm>

#include "base/log.hpp"

namespace asterstair::autoscale {
namespace {

constexpr auto kTick = 1s;
constexpr auto kListEvery = 5s, kListUnsettled = 2s;
constexpr auto kRefusedFor = 15s;   // no capacity: asked again after this
constexpr auto kRentAgain = 200ms;  // after an answer, while more is wanted
constexpr auto kConsolidateEvery = 3s;
constexpr auto kLull = 20s;

Pool pool_of(const provisioning::Rental& rental) { return {rental.type, rental.zone, rental.spot}; }

}  // namespace

Autoscaler::Autoscaler(Runtime& runtime, cloud::Cloud& cloud,
                       provisioning::ProvisioningController& provisioning, const Settings& settings,
                       const cloud::Catalog& catalog, std::shared_ptr<leader::Term> term)
    : runtime_(runtime),
      cloud_(cloud),
      provisioning_(provisioning),
      catalog_(catalog),
      term_(std::move(term)),
      operations_(provisioning.begin_term()),
      inventory_(settings),
      return_policy_(settings, catalog, *term_, inventory_) {}

void Autoscaler::start() {
  operations_->start(operation_events(), [term = term_] { term->open_returns_known(); });
  tick();
}

provisioning::OperationRunner::Events Autoscaler::operation_events() {
  const auto tell = [self = weak_from_this()](auto action) {
    return [self, action](const provisioning::Operation& operation) {
      const auto a = self.lock();
      if (a && !a->stopped_) action(*a, operation);
    };
  };
  return {tell([](Autoscaler& a, const provisioning::Operation& o) {
            for (const auto& [machine, reason] : o.returns) a.term_->begin_return(machine);
          }),
          tell([](Autoscaler& a, const provisioning::Operation& o) { a.granted(o); }),
          tell([](Autoscaler& a, const provisioning::Operation& o) { a.refused(o); }),
          tell([](Autoscaler& a, const provisioning::Operation& o) { a.returned(o); })};
}

void Autoscaler::tick() {
  if (stopped_) return;
  runtime_.after(kTick, [self = weak_from_this()] {
    if (const auto a = self.lock()) a->tick();
  });
  if (!provisioning_.lease_valid() || !term_->recovered() || !catalog_.known()) return;
  list_machines();
  settle_machines();
  return_policy_.update(runtime_.now());
  send_returns();
  consolidate();
  publish_orphans();
  // What an earlier leader rented shows in the list first.
  if (first_list_ != TimePoint{} && term_->reconciled()) rent();
}

void Autoscaler::list_machines() {
  const auto now = runtime_.now();
  const Duration every = term_->reconciled() ? Duration(kListEvery) : Duration(kListUnsettled);
  if (listing_ || now - last_list_ < every || !cloud_.may_call()) return;
  listing_ = true;
  last_list_ = now;
  list("", std::make_shared<std::vector<ListedMachine>>());
}

void Autoscaler::list(const std::string& after,
                      const std::shared_ptr<std::vector<ListedMachine>>& so_far) {
  cloud_.list(after, [self = weak_from_this(), so_far](std::optional<wire::MachinePage> page) {
    const auto a = self.lock();
    if (!a || a->stopped_) return;
    if (!page) {
      a->listing_ = false;
      return;
    }
    for (auto& m : page->machines) so_far->push_back(std::move(m));
    if (page->more && !so_far->empty()) {
      const std::string last = so_far->back().id;
      a->list(last, so_far);
      return;
    }
    a->listing_ = false;
    if (a->first_list_ == TimePoint{}) a->first_list_ = a->runtime_.now();
    a->listed(*so_far);
  });
}

void Autoscaler::listed(const std::vector<ListedMachine>& machines) {
  const auto now = runtime_.now();
  inventory_.listed(machines, term_->machines(), now);
  return_policy_.listed(machines, first_list_, now);
  for (const auto& machine : inventory_.take_vanished()) operations_->resolve_machine(machine);
}

// Machines that the operation log names are settled once they are on the machine registry: a later
// leader then knows of them from there.
void Autoscaler::settle_machines() {
  inventory_.update(term_->machines(), runtime_.now());
  std::vector<std::string> settled;
  for (const auto& [machine, operation] : operations_->unresolved_machines()) {
    const auto* m = term_->machines().find(machine);
    const bool pending = m == nullptr && inventory_.pending().count(machine) != 0;
    const bool joining = m != nullptr && !m->registered;
    if (!pending && !joining) settled.push_back(machine);
  }
  for (const auto& machine : settled) operations_->resolve_machine(machine);
}

void Autoscaler::publish_orphans() {
  std::vector<provisioning::OrphanedInstance> orphans;
  const auto now = runtime_.now();
  for (const auto& [machine, u] : inventory_.unaccounted()) {
    const auto age = std::chrono::duration_cast<WallTime::duration>(now - u.since);
    orphans.push_back({machine, u.state, runtime_.wall() - age});
  }
  provisioning_.publish_orphans(orphans);
}

// Only in a lull: while work keeps arriving the room will be wanted again.
void Autoscaler::consolidate() {
  const auto now = runtime_.now();
  if (now - last_consolidation_ < kConsolidateEvery) return;
  last_consolidation_ = now;
  term_->consolidate([this, now](const cluster::Machine& m) {
    const auto& arrivals = term_->arrivals();
    return std::none_of(arrivals.begin(), arrivals.end(), [&](const leader::Arrival& a) {
      return a.job->allows_type(m.type) && now - a.at < kLull;
    });
  });
}

bool Autoscaler::refused_lately(const Pool& pool) const {
  const auto it = refused_until_.find(pool);
  return it != refused_until_.end() && runtime_.now() < it->second;
}

// Rented, or asked for and not yet answered.
std::map<std::string, PendingMachine> Autoscaler::pending_and_requested() const {
  const auto now = runtime_.now();
  auto out = inventory_.pending();
  for (const auto& [name, o] : operations_->pending_operations()) {
    if (o.kind != provisioning::OperationKind::Rent) continue;
    for (std::size_t i = 0; i < o.rental.count; ++i) {
      out[name + "/" + std::to_string(i)] = {pool_of(o.rental), now, now};
    }
  }
  return out;
}

Market Autoscaler::market() const {
  const auto now = runtime_.now();
  return {catalog_, [this](const Pool& p) { return refused_lately(p); },
          [this, now, sizes = term_->group_sizes()](const Pool& p) {
            const auto n = sizes.find({p.zone, p.spot});
            return term_->losses().rate({p.zone, p.spot}, n == sizes.end() ? 1 : n->second, now);
          },
          backlog()};
}

Autoscaler::CountByZone Autoscaler::machines_by_zone(
    const std::string& type, const std::map<std::string, PendingMachine>& pending) const {
  CountByZone out;
  for (const auto& [id, m] : term_->machines().all()) {
    if (m.type == type && m.reconciled && !m.lease_expired) ++out[m.zone];
  }
  for (const auto& [id, p] : pending) {
    if (p.pool.type == type) ++out[p.pool.zone];
  }
  return out;
}

// Zones where most machines of the type run already come last: losses come by zone. One request is
// under way for each pool, so that what a pool lacks is asked of another in the next round.
std::optional<std::string> Autoscaler::zone_for(const DesiredMachines& desired,
                                                const std::set<Pool>& under_way,
                                                const CountByZone& there) const {
  std::optional<std::string> best;
  std::size_t fewest = 0;
  for (const auto& zone : catalog_.find(desired.type)->zones) {
    const Pool pool{desired.type, zone, desired.spot};
    if (refused_lately(pool) || under_way.count(pool) != 0) continue;
    if (desired.job->zone && *desired.job->zone != zone) continue;
    const auto it = there.find(zone);
    const std::size_t count = it == there.end() ? 0 : it->second;
    if (best && count >= fewest) continue;
    best = zone;
    fewest = count;
  }
  return best;
}

// A fleet is rented from empty in a few rounds: as many requests at once as the cloud takes.
void Autoscaler::rent() {
  if (!operations_->may_begin()) return;
  inventory_.update(term_->machines(), runtime_.now());
  const auto pending = pending_and_requested();
  std::set<Pool> under_way;
  for (const auto& [name, o] : operations_->pending_operations()) {
    if (o.kind == provisioning::OperationKind::Rent) under_way.insert(pool_of(o.rental));
  }
  std::map<std::string, CountByZone> by_type;
  for (const auto& desired : desired_machines(term_->demand(), pending, market())) {
    const auto [counts, added] = by_type.try_emplace(desired.type);
    if (added) counts->second = machines_by_zone(desired.type, pending);
    for (std::size_t left = desired.count; left > 0;) {
      if (!cloud_.may_call() || !operations_->may_begin()) return;
      const auto zone = zone_for(desired, under_way, counts->second);
      if (!zone) break;
      const auto count = std::min(left, wire::kMostRented);
      operations_->rent({desired.type, *zone, desired.spot, count});
      under_way.insert({desired.type, *zone, desired.spot});
      counts->second[*zone] += count;
      left -= count;
    }
  }
}

void Autoscaler::rent_soon() {
  if (rent_due_) return;
  rent_due_ = true;
  runtime_.after(kRentAgain, [self = weak_from_this()] {
    const auto a = self.lock();
    if (!a || a->stopped_) return;
    a->rent_due_ = false;
    if (a->provisioning_.lease_valid()) a->rent();
  });
}

// Under this leader, or by an earlier one.
void Autoscaler::granted(const provisioning::Operation& o) {
  const auto now = runtime_.now();
  const Pool pool = pool_of(o.rental);
  const auto age = std::chrono::duration_cast<Duration>(runtime_.wall() - o.begun);
  const TimePoint since = now - std::max(age, Duration::zero());
  for (const auto& machine : o.machines) inventory_.rented(machine, pool, since, now);
  if (o.machines.size() < o.rental.count) refused_until_[pool] = now + kRefusedFor;
  rent_soon();
}

void Autoscaler::refused(const provisioning::Operation& o) {
  // One that was withdrawn is decided upon anew.
  if (o.state == provisioning::OperationState::Refused) {
    refused_until_[pool_of(o.rental)] = runtime_.now() + kRefusedFor;
  }
  rent_soon();
}

void Autoscaler::returned(const provisioning::Operation& o) {
  const auto now = runtime_.now();
  for (const auto& [machine, reason] : o.returns) {
    inventory_.returned(machine, now);
    return_policy_.returned(machine);
    operations_->resolve_machine(machine);
    term_->machine_gone(machine);
  }
}

// How long the arrays that need no accelerator will queue, as things are.
Seconds Autoscaler::backlog() const {
  double work = 0, cpus = 0;
  for (const auto& d : term_->demand()) {
    if (d.job->gpus <= 0 && !d.job->gang()) {
      work += d.tasks * d.job->cpus * d.remaining.count();
    }
  }
  for (const auto& [id, m] : term_->machines().all()) {
    const auto* type = catalog_.find(m.type);
    if (type != nullptr && m.reconciled && !m.lease_expired) cpus += type->cpus;
  }
  return Seconds(cpus > 0 ? work / cpus : 0);
}

// One return is under way at a time. From here on no leader gives the machines work: none of this
// term, see Term::begin_return, and none later, since the operation log tells of them.
void Autoscaler::send_returns() {
  if (operations_->has_pending_return() || !operations_->may_begin() || !cloud_.may_call()) return;
  const auto returns = return_policy_.due(wire::kMostReturned);
  if (returns.empty()) return;
  for (const auto& [machine, reason] : returns) term_->begin_return(machine);
  operations_->return_machines(returns);
}

}  // namespace asterstair::autoscale
