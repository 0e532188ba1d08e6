#include "autoscale/autoscale.hpp"

#include <algorithm>
#include <cmath>

#include "base/log.hpp"
#include "sched/constraints.hpp"
#include "sched/score.hpp"

namespace asterstair::autoscale {
namespace {

constexpr auto kTick = 1s;
constexpr auto kListEvery = 5s, kListUnsettled = 2s;
constexpr auto kRefusedFor = 15s;   // no capacity: asked again after this
constexpr auto kRentAgain = 200ms;  // after an answer, while more is wanted
constexpr auto kAskAgain = 2s;      // an unanswered rental, with its name
constexpr int kAskTries = 30;
constexpr Seconds kUnknownBoot{60};  // of a type that is not known
constexpr double kBootPatience = 4;  // times the nominal boot time
constexpr auto kBootExtra = 20s;
constexpr double kIdleBoots = 1;     // an idle machine is kept so many boot times
constexpr int kAwaitedBoots = 5;     // longer, while a gang may be waiting for it
constexpr double kTightBoots = 2.5;  // boots may take that much longer than stated
constexpr auto kConsolidateEvery = 3s;
constexpr auto kTakeOverPatience = 4s;
constexpr auto kLull = 20s;
constexpr int kUnresponsiveLeases = 3;  // so long a machine may seem not to hear answers
constexpr auto kSilentPatience = 20s;   // beyond the lease, before a silent machine is returned

}  // namespace

Autoscaler::Autoscaler(Runtime& runtime, cloud::Cloud& cloud, const leader::Election& election,
                       const Settings& settings, const cloud::Catalog& catalog,
                       std::shared_ptr<fleet::Fleet> fleet)
    : runtime_(runtime),
      cloud_(cloud),
      election_(election),
      settings_(settings),
      catalog_(catalog),
      fleet_(std::move(fleet)) {}

void Autoscaler::tick() {
  if (stopped_) return;
  runtime_.after(kTick, [self = weak_from_this()] {
    if (const auto a = self.lock()) a->tick();
  });
  if (!election_.entitled() || !fleet_->loaded() || !catalog_.known()) return;
  const auto now = runtime_.now();
  const Duration every = fleet_->settled() ? Duration(kListEvery) : Duration(kListUnsettled);
  if (!listing_ && now - last_list_ >= every && cloud_.may_call()) {
    listing_ = true;
    last_list_ = now;
    list("", std::make_shared<std::vector<ListedMachine>>());
  }
  return_machines();
  if (now - last_consolidation_ >= kConsolidateEvery) {
    last_consolidation_ = now;
    // Only in a lull: while work keeps arriving the room will be wanted again.
    fleet_->consolidate([this, now](const fleet::Machine& m) {
      for (const auto& a : fleet_->arrivals()) {
        if (a.job->allows_type(m.type) && now - a.at < kLull) return false;
      }
      return true;
    });
  }
  // What an earlier leader rented shows in the list first.
  if (first_list_ != TimePoint{} && fleet_->settled()) rent();
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
  std::set<std::string> names;
  for (const auto& m : machines) {
    names.insert(m.id);
    if (gone_.count(m.id) != 0) continue;
    const auto known = fleet_->machines().all().find(m.id);
    if (m.state == ListedMachine::State::Failed) {
      to_return_.insert(m.id);
    } else if (known == fleet_->machines().all().end() && pending_.count(m.id) == 0) {
      // Rented by an earlier leader, or by a request thought lost: used like any other.
      pending_[m.id] = {{m.type, m.zone, m.spot}, now - to_duration(m.age), now};
    }
  }
  // A take-over waits for every machine that may hold tasks. Of those that neither report nor are
  // listed, a return tells at once that they are gone, instead of their leases running out.
  if (!fleet_->settled() && now - first_list_ > kTakeOverPatience) {
    for (const auto& [id, m] : fleet_->machines().all()) {
      if (!m.reported && !m.silent && names.count(id) == 0) to_return_.insert(id);
    }
  }
  // Taken back or given up while it was coming: lists lag, so only after a while.
  for (auto it = pending_.begin(); it != pending_.end();) {
    const bool due = now - it->second.since > settings_.list_lag * 3 + 10s;
    it = due && names.count(it->first) == 0 ? pending_.erase(it) : std::next(it);
  }
  for (auto it = gone_.begin(); it != gone_.end();) {
    it = now - it->second > settings_.list_lag * 3 + 60s ? gone_.erase(it) : std::next(it);
  }
}

bool Autoscaler::refused(const Pool& pool) const {
  const auto it = refused_until_.find(pool);
  return it != refused_until_.end() && runtime_.now() < it->second;
}

// Rented, or asked for and not yet answered.
std::map<std::string, PendingMachine> Autoscaler::pending_and_requested() const {
  const auto now = runtime_.now();
  auto out = pending_;
  for (const auto& [name, r] : requests_) {
    for (std::size_t i = 0; i < r.count; ++i) {
      out[name + "/" + std::to_string(i)] = {{r.type, r.zone, r.spot}, now, now};
    }
  }
  return out;
}

Market Autoscaler::market() const {
  const auto now = runtime_.now();
  return {catalog_, [this](const Pool& p) { return refused(p); },
          [this, now, sizes = fleet_->group_sizes()](const Pool& p) {
            const auto n = sizes.find({p.zone, p.spot});
            return fleet_->losses().rate({p.zone, p.spot}, n == sizes.end() ? 1 : n->second, now);
          },
          backlog()};
}

Autoscaler::CountByZone Autoscaler::machines_by_zone(
    const std::string& type, const std::map<std::string, PendingMachine>& pending) const {
  CountByZone out;
  for (const auto& [id, m] : fleet_->machines().all()) {
    if (m.type == type && m.reported && !m.silent) ++out[m.zone];
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
    if (refused(pool) || under_way.count(pool) != 0) continue;
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
  for (auto it = pending_.begin(); it != pending_.end();) {
    it = fleet_->machines().all().count(it->first) != 0 ? pending_.erase(it) : std::next(it);
  }
  const auto pending = pending_and_requested();
  std::set<Pool> under_way;
  for (const auto& [name, r] : requests_) under_way.insert({r.type, r.zone, r.spot});
  std::map<std::string, CountByZone> by_type;
  for (const auto& desired : desired_machines(fleet_->demand(), pending, market())) {
    const auto [counts, added] = by_type.try_emplace(desired.type);
    if (added) counts->second = machines_by_zone(desired.type, pending);
    for (std::size_t left = desired.count; left > 0;) {
      if (!cloud_.may_call()) return;
      const auto zone = zone_for(desired, under_way, counts->second);
      if (!zone) break;
      const auto count = std::min(left, wire::kMostRented);
      request({desired.type, *zone, desired.spot}, count);
      under_way.insert({desired.type, *zone, desired.spot});
      counts->second[*zone] += count;
      left -= count;
    }
  }
}

// Names carry the token and a counter: never used again, not even by another node.
void Autoscaler::request(const Pool& pool, std::size_t count) {
  const wire::RentalRequest request{
      "r-" + std::to_string(election_.token()) + "-" + std::to_string(++requests_made_), pool.type,
      pool.zone, pool.spot, count};
  requests_[request.request] = request;
  send(request, kAskTries);
}

void Autoscaler::rent_soon() {
  if (rent_due_) return;
  rent_due_ = true;
  runtime_.after(kRentAgain, [self = weak_from_this()] {
    const auto a = self.lock();
    if (!a || a->stopped_) return;
    a->rent_due_ = false;
    if (a->election_.entitled()) a->rent();
  });
}

void Autoscaler::send(const wire::RentalRequest& request, int tries) {
  cloud_.rent(request,
              [self = weak_from_this(), request, tries](const cloud::Cloud::RentResult& r) {
                const auto a = self.lock();
                if (!a || a->stopped_) return;
                using Outcome = cloud::Cloud::RentResult::Outcome;
                const auto now = a->runtime_.now();
                const Pool pool{request.type, request.zone, request.spot};
                if (r.outcome == Outcome::Unknown && tries > 0) {
                  // It may have been carried out: asked again under its name, until it is known.
                  a->runtime_.after(kAskAgain, [self, request, tries] {
                    if (const auto b = self.lock(); b && !b->stopped_) b->send(request, tries - 1);
                  });
                  return;
                }
                a->requests_.erase(request.request);
                if (r.outcome == Outcome::Rented) {
                  for (const auto& id : r.machines) a->pending_[id] = {pool, now, now};
                  log::info("rented {} of {} {} {} in {}", r.machines.size(), request.count,
                            request.spot ? "spot" : "ordinary", request.type, request.zone);
                  if (r.machines.size() < request.count)
                    a->refused_until_[pool] = now + kRefusedFor;
                } else if (r.outcome == Outcome::NoCapacity) {
                  a->refused_until_[pool] = now + kRefusedFor;
                }
                a->rent_soon();
              });
}

// How long the arrays that need no accelerator will queue, as things are.
Seconds Autoscaler::backlog() const {
  double work = 0, cpus = 0;
  for (const auto& d : fleet_->demand()) {
    if (d.job->gpus <= 0 && !d.job->gang()) {
      work += d.tasks * d.job->cpus * d.remaining.count();
    }
  }
  for (const auto& [id, m] : fleet_->machines().all()) {
    const auto* type = catalog_.find(m.type);
    if (type != nullptr && m.reported && !m.silent) cpus += type->cpus;
  }
  return Seconds(cpus > 0 ? work / cpus : 0);
}

// Whether enough room stays free without the machine for what may arrive before another could be
// up: work that cannot wait for a boot.
bool Autoscaler::may_spare(const fleet::Machine& machine, const FreeRoom& room) const {
  const auto* type = catalog_.find(machine.type);
  if (type == nullptr) return true;
  const bool gpu = type->gpus > 0;
  double expected = 0;
  for (const auto& a : fleet_->arrivals()) {
    if ((a.job->gpus > 0) != gpu || !a.job->allows_type(machine.type)) continue;
    if (a.slack >= kTightBoots * type->boot.count()) continue;
    expected += a.job->tasks * (gpu ? a.job->gpus : a.job->cpus);
  }
  expected *= type->boot.count() / seconds(fleet::kArrivalWindow);
  // The machine itself is idle: its room is all free.
  return gpu ? room.gpus - type->gpus >= expected : room.cpus - type->cpus >= expected;
}

// Whether a gang waits that this machine could serve once others have come: returned one by one as
// they idle, the machines of a gang would never be there together.
bool Autoscaler::gang_waits_for(const fleet::Machine& machine) const {
  const auto* type = catalog_.find(machine.type);
  if (type == nullptr) return false;
  sched::PlanMachine m;
  m.type = type;
  m.zone = machine.zone;
  m.spot = machine.spot;
  for (const auto& d : fleet_->demand()) {
    if (d.job->gang() && sched::allowed_on(*d.job, m) && type->fits(*d.job) > 0) return true;
  }
  return false;
}

// What is free for new work, on machines with accelerators and on those without.
Autoscaler::FreeRoom Autoscaler::free_room() const {
  FreeRoom out;
  for (const auto& [id, m] : fleet_->machines().all()) {
    const auto* t = catalog_.find(m.type);
    if (t == nullptr || !fleet_->usable(m)) continue;
    if (t->gpus > 0) {
      out.gpus += t->gpus - m.holding.used.gpus;
    } else {
      out.cpus += t->cpus - m.holding.used.cpus;
    }
  }
  return out;
}

void Autoscaler::return_failed_boots() {
  const auto now = runtime_.now();
  for (const auto& [id, p] : pending_) {
    if (fleet_->machines().all().count(id) != 0) continue;
    const auto boot = to_duration(boot_time(p.pool.type) * kBootPatience) + kBootExtra;
    // A new leader first hears from the machines that are up.
    const bool failed = now - p.since > boot && now - p.first_seen > settings_.lease + kBootExtra;
    if (failed && to_return_.insert(id).second) {
      log::info("machine {} has not come up; returned", id);
    }
  }
}

Seconds Autoscaler::boot_time(const std::string& type) const {
  const auto* t = catalog_.find(type);
  return t != nullptr ? t->boot : kUnknownBoot;
}

// Answers do not reach it, and have not for long, or it has long been silent: of no use, whatever
// it says of itself.
bool Autoscaler::unusable_for_long(const fleet::Machine& m) const {
  const auto now = runtime_.now();
  if (m.unresponsive_since && now - *m.unresponsive_since > settings_.lease * kUnresponsiveLeases)
    return true;
  return m.silent && now - m.last_answered > settings_.lease + kSilentPatience;
}

bool Autoscaler::idle_for_long(const fleet::Machine& m, TimePoint idle_since,
                               const FreeRoom& room) const {
  const Duration idle = runtime_.now() - idle_since;
  const Duration keep = to_duration(boot_time(m.type) * kIdleBoots);
  if (!fleet_->settled() || idle <= keep) return false;
  if (idle <= keep * kAwaitedBoots && gang_waits_for(m)) return false;
  return may_spare(m, room);
}

// An idle machine is drained first, and returned once a later turn still finds it without tasks:
// exited tasks wait for their results to be durable.
void Autoscaler::release(const fleet::Machine& m, TimePoint idle_since, FreeRoom& room) {
  if (m.draining) {
    if (m.occupants.empty()) to_return_.insert(m.id);
    return;
  }
  if (!m.faulty && !idle_for_long(m, idle_since, room)) return;
  fleet_->drain(m.id);
  // No longer there for what may come.
  const auto* type = catalog_.find(m.type);
  if (type == nullptr) return;
  if (type->gpus > 0) {
    room.gpus -= type->gpus;
  } else {
    room.cpus -= type->cpus;
  }
}

void Autoscaler::return_machines() {
  return_failed_boots();
  std::map<std::string, TimePoint> idle;
  auto room = free_room();
  for (const auto& [id, m] : fleet_->machines().all()) {
    if (unusable_for_long(m)) {
      to_return_.insert(id);
      continue;
    }
    // What is being emptied stays closed, whatever came before.
    if (!m.reported || m.silent || m.holds_tasks()) continue;
    const auto since = idle_since_.find(id);
    idle[id] = since == idle_since_.end() ? runtime_.now() : since->second;
    release(m, idle[id], room);
  }
  idle_since_ = std::move(idle);
  send_returns();
}

void Autoscaler::send_returns() {
  if (to_return_.empty() || returning_ || !cloud_.may_call()) return;
  std::vector<std::string> names;
  for (const auto& id : to_return_) {
    if (names.size() >= wire::kMostReturned) break;
    names.push_back(id);
  }
  returning_ = true;
  cloud_.give_back(names, [self = weak_from_this(), names](bool done) {
    const auto a = self.lock();
    if (!a || a->stopped_) return;
    a->returning_ = false;
    if (!done) return;
    for (const auto& id : names) {
      log::info("returned {}", id);
      a->to_return_.erase(id);
      a->pending_.erase(id);
      a->gone_[id] = a->runtime_.now();
      a->fleet_->machine_gone(id);
    }
  });
}

}  // namespace asterstair::autoscale
