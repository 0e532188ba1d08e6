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
constexpr double kBootPatience = 4;  // times the nominal boot time
constexpr auto kBootExtra = 20s;
constexpr double kIdleBoots = 1;     // an idle machine is kept so many boot times
constexpr int kAwaitedBoots = 5;     // longer, while a gang may be waiting for it
constexpr double kTightBoots = 2.5;  // boots may take that much longer than stated
constexpr double kBacklogBoots = 0.75;
constexpr auto kConsolidateEvery = 3s;
constexpr auto kTakeOverPatience = 4s;
constexpr auto kLull = 20s;
constexpr int kDeafLeases = 3;         // so long a machine may seem not to hear answers
constexpr auto kSilentPatience = 20s;  // beyond the lease, before a silent machine is returned

}  // namespace

std::vector<Want> wanted(const std::vector<fleet::Demand>& demand, const cloud::Catalog& catalog,
                         const std::map<std::string, Coming>& coming,
                         const std::function<bool(const Pool&)>& refused,
                         const std::function<double(const Pool&)>& loss_rate, Seconds backlog) {
  struct Empty {
    const MachineType* type;
    std::string zone;
    bool spot;
    sched::Resources free;
  };
  std::vector<Empty> machines;
  for (const auto& [id, c] : coming) {
    if (const auto* t = catalog.find(c.pool.type)) {
      machines.push_back({t, c.pool.zone, c.pool.spot, {t->cpus, t->gpus, t->memory_gb}});
    }
  }
  std::vector<Want> out;
  for (const auto& d : demand) {
    const JobSpec& job = *d.job;
    double left = d.tasks;
    for (auto& m : machines) {
      if (left < 1) break;
      if (!job.allows_type(m.type->name) || (m.spot && !job.spot) ||
          (job.zone && *job.zone != m.zone)) {
        continue;
      }
      while (left >= 1 && sched::fits(job, m.free)) {
        m.free.add(job, -1);
        left -= 1;
      }
    }
    if (left < 1) continue;
    // The type that holds a task most cheaply, of those to be had.
    const MachineType* best = nullptr;
    double best_price = 0;
    bool best_spot = false;
    for (const auto& [name, t] : catalog.types()) {
      if (!job.allows_type(name) || t.fits(job) == 0) continue;
      // Accelerators are for those that need them, unless the arrays that do not will queue for
      // longer than such a machine takes to come up.
      if (job.gpus <= 0 && t.gpus > 0 && (job.gang() || backlog < t.boot * kBacklogBoots)) continue;
      for (const bool spot : {true, false}) {
        if (spot && !job.spot) continue;
        double rate = -1;  // of the safest zone to be had
        for (const auto& z : t.zones) {
          const Pool pool{name, z, spot};
          if ((job.zone && *job.zone != z) || refused(pool)) continue;
          rate = rate < 0 ? loss_rate(pool) : std::min(rate, loss_rate(pool));
        }
        if (rate < 0) continue;
        // All the type's room counts: other tasks will share the machine.
        double per_machine = t.cpus / std::max(job.cpus, 1e-9);
        if (job.gpus > 0) per_machine = std::min(per_machine, t.gpus / job.gpus);
        if (job.memory_gb > 0) per_machine = std::min(per_machine, t.memory_gb / job.memory_gb);
        // Work that is lost is bought again.
        const double again = 1 + sched::takeback_chance(rate, d.remaining);
        const double price =
            (spot ? t.spot_price : t.price) * again / std::floor(per_machine + 1e-6);
        const bool plainer = best != nullptr && job.gpus <= 0 && best->gpus <= 0 && t.gpus > 0;
        // What is to start at once takes what is up first, then what costs least.
        const bool sooner = best != nullptr && d.urgent && t.boot != best->boot;
        const bool better = best == nullptr || (sooner ? t.boot < best->boot : price < best_price);
        if (!plainer && better) {
          best = &t;
          best_price = price;
          best_spot = spot;
        }
      }
    }
    if (best == nullptr) continue;
    // Short tasks share a machine one after the other while others would still be booting.
    sched::Resources whole{best->cpus, best->gpus, best->memory_gb};
    double per_machine = 0;
    while (per_machine < left && sched::fits(job, whole)) {
      whole.add(job, -1);
      per_machine += 1;
    }
    const double at_once = std::ceil(left / per_machine);
    const double turns = std::max(1.0, best->boot.count() / std::max(d.remaining.count(), 1.0));
    const auto count = static_cast<std::size_t>(std::max(1.0, std::ceil(at_once / turns)));
    // One request for all that want the same: the cloud counts requests.
    const auto same = std::find_if(out.begin(), out.end(), [&](const Want& w) {
      return w.type == best->name && w.spot == best_spot && w.job->zone == job.zone;
    });
    if (same != out.end()) {
      same->count += count;
    } else {
      out.push_back({best->name, count, best_spot, &job});
    }
    for (std::size_t i = 0; i < count; ++i) {
      machines.push_back({best,
                          job.zone.value_or(best->zones.front()),
                          best_spot,
                          {best->cpus, best->gpus, best->memory_gb}});
      auto& m = machines.back();
      for (double n = 0; n < per_machine && sched::fits(job, m.free); n += 1) m.free.add(job, -1);
    }
  }
  return out;
}

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
  give_back();
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
    } else if (known == fleet_->machines().all().end() && coming_.count(m.id) == 0) {
      // Rented by an earlier leader, or by a request thought lost: used like any other.
      coming_[m.id] = {{m.type, m.zone, m.spot}, now - to_duration(m.age), now};
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
  for (auto it = coming_.begin(); it != coming_.end();) {
    const bool due = now - it->second.since > settings_.list_lag * 3 + 10s;
    it = due && names.count(it->first) == 0 ? coming_.erase(it) : std::next(it);
  }
  for (auto it = gone_.begin(); it != gone_.end();) {
    it = now - it->second > settings_.list_lag * 3 + 60s ? gone_.erase(it) : std::next(it);
  }
}

bool Autoscaler::refused(const Pool& pool) const {
  const auto it = refused_until_.find(pool);
  return it != refused_until_.end() && runtime_.now() < it->second;
}

void Autoscaler::rent() {
  const auto now = runtime_.now();
  for (auto it = coming_.begin(); it != coming_.end();) {
    it = fleet_->machines().all().count(it->first) != 0 ? coming_.erase(it) : std::next(it);
  }
  auto coming = coming_;
  for (const auto& [name, r] : asked_) {
    for (std::size_t i = 0; i < r.count; ++i) {
      coming[name + "/" + std::to_string(i)] = {{r.type, r.zone, r.spot}, now, now};
    }
  }
  const auto sizes = fleet_->group_sizes();
  const auto wants = wanted(
      fleet_->demand(), catalog_, coming, [this](const Pool& p) { return refused(p); },
      [&](const Pool& p) {
        const auto n = sizes.find({p.zone, p.spot});
        return fleet_->losses().rate({p.zone, p.spot}, n == sizes.end() ? 1 : n->second, now);
      },
      backlog());
  std::map<std::string, std::map<std::string, std::size_t>> by_type;
  if (!wants.empty()) {
    for (const auto& [id, m] : fleet_->machines().all()) {
      if (m.reported && !m.silent) ++by_type[m.type][m.zone];
    }
    for (const auto& [id, c] : coming) ++by_type[c.pool.type][c.pool.zone];
  }
  // A fleet is rented from empty in a few rounds: as many requests at once as the cloud takes, one
  // under way for each pool, so that what a pool lacks is asked of another in the next round.
  std::set<Pool> under_way;
  for (const auto& [name, r] : asked_) under_way.insert({r.type, r.zone, r.spot});
  for (const auto& w : wants) {
    const auto* type = catalog_.find(w.type);
    auto& there = by_type[w.type];
    for (std::size_t left = w.count; left > 0;) {
      if (!cloud_.may_call()) return;
      // Zones where most machines of the type run already come last: losses come by zone.
      const std::string* zone = nullptr;
      for (const auto& z : type->zones) {
        const Pool pool{w.type, z, w.spot};
        if (refused(pool) || under_way.count(pool) != 0 || (w.job->zone && *w.job->zone != z)) {
          continue;
        }
        if (zone == nullptr || there[z] < there[*zone]) zone = &z;
      }
      if (zone == nullptr) break;
      // Names carry the token and a counter: never used again, not even by another node.
      wire::RentalRequest request{
          "r-" + std::to_string(election_.token()) + "-" + std::to_string(++requests_), w.type,
          *zone, w.spot, std::min(left, wire::kMostRented)};
      asked_[request.request] = request;
      under_way.insert({w.type, *zone, w.spot});
      there[*zone] += request.count;
      left -= request.count;
      send(request, kAskTries);
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
                a->asked_.erase(request.request);
                if (r.outcome == Outcome::Rented) {
                  for (const auto& id : r.machines) a->coming_[id] = {pool, now, now};
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

void Autoscaler::give_back() {
  const auto now = runtime_.now();
  const auto& all = fleet_->machines().all();
  // Boots that never come.
  for (const auto& [id, c] : coming_) {
    const auto* type = catalog_.find(c.pool.type);
    const Seconds boot = type != nullptr ? type->boot : Seconds(60);
    if (all.count(id) != 0) continue;
    // A new leader first hears from the machines that are up.
    if (now - c.since > to_duration(boot * kBootPatience) + kBootExtra &&
        now - c.seen > settings_.lease + kBootExtra) {
      if (to_return_.insert(id).second) log::info("machine {} has not come up; returned", id);
    }
  }
  std::map<std::string, TimePoint> idle;
  auto room = free_room();
  for (const auto& [id, m] : all) {
    // Answers do not reach it, and have not for long: of no use, whatever it says of itself.
    if (m.deaf_since && now - *m.deaf_since > settings_.lease * kDeafLeases) {
      to_return_.insert(id);
      continue;
    }
    if (m.silent && now - m.last_answered > settings_.lease + kSilentPatience) {
      to_return_.insert(id);
      continue;
    }
    if (!m.reported || m.silent) continue;
    if (m.holds_tasks()) {
      // Work came before it was returned; what is being emptied stays closed.
      continue;
    }
    const auto since = idle_since_.find(id);
    idle[id] = since == idle_since_.end() ? now : since->second;
    const auto* type = catalog_.find(m.type);
    const Duration keep = to_duration((type != nullptr ? type->boot : Seconds(60)) * kIdleBoots);
    // Drained first; returned once a later turn still finds it without tasks. Exited tasks wait
    // for their results to be durable.
    const bool awaited = now - idle[id] <= keep * kAwaitedBoots && gang_waits_for(m);
    if (m.faulty || m.draining ||
        (fleet_->settled() && now - idle[id] > keep && !awaited && may_spare(m, room))) {
      if (m.draining && m.occupants.empty()) {
        to_return_.insert(id);
      } else if (!m.draining) {
        fleet_->drain(id);
        // No longer there for what may come.
        if (type != nullptr && type->gpus > 0) room.gpus -= type->gpus;
        if (type != nullptr && type->gpus <= 0) room.cpus -= type->cpus;
      }
    }
  }
  idle_since_ = std::move(idle);

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
      a->coming_.erase(id);
      a->gone_[id] = a->runtime_.now();
      a->fleet_->machine_gone(id);
    }
  });
}

}  // namespace asterstair::autoscale
