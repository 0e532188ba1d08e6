// Emptying machines: for their return, and of costly ones in lulls.

#include <algorithm>

#include "base/log.hpp"
#include "fleet/fleet.hpp"
#include "sched/score.hpp"

namespace asterstair::fleet {
namespace {

constexpr Seconds kEndsSoon{15};
constexpr auto kMoveEvery = 30s;
constexpr double kMoveWorth = 4;

}  // namespace

void Fleet::drain(const std::string& id) {
  if (Machine* m = machines_.find(id)) m->draining = true;
}

// Whether all that runs there is worth moving: it can save, and has more left than a move costs;
// or ends soon by itself.
bool Fleet::can_move(const Machine& m) const {
  const auto now = runtime_.now();
  bool any = false;
  for (const auto& [key, o] : m.occupants) {
    if (!o.holds_room()) continue;
    if (o.phase != Occupant::Phase::Present || o.state != TaskState::Running || o.stop || !o.job) {
      return false;
    }
    const Seconds left = o.job->estimate - Seconds(now - o.running_since);
    const bool saves = o.job->checkpoint.count() > 0 && (!o.job->gang() || o.job->tasks == 1);
    if (saves) any = true;
    if (!saves && left > kEndsSoon) return false;
    // A task moves once in a while at most, and only with much more left than the move costs.
    if (now - o.running_since < kMoveEvery) return false;
    const auto* type = catalog_.find(m.type);
    const double rate = type != nullptr && type->fetch_gb_per_s > 0 ? type->fetch_gb_per_s
                                                                    : sched::kFetchGbPerSecond;
    const Seconds move = o.job->save + sched::start_delay(o.job->image_gb, false, rate);
    if (saves && left < move * kMoveWorth) return false;
  }
  return any;
}

void Fleet::consolidate(const std::function<bool(const Machine&)>& spare) {
  if (!settled_ || !election_.entitled() || !demand_.empty()) return;
  const auto s = snapshot();
  if (!s.jobs.empty()) return;
  std::vector<const sched::PlanMachine*> by_price;
  for (const auto& m : s.machines) by_price.push_back(&m);
  std::sort(by_price.begin(), by_price.end(), [](const auto* a, const auto* b) {
    return std::pair(a->price(), a->ref) > std::pair(b->price(), b->ref);
  });
  for (const auto* from : by_price) {
    Machine& m = *planned_machines_[from->ref];
    if (from->empty() || !can_move(m) || !spare(m)) continue;
    auto others = s.machines;
    bool fits = true;
    for (const auto& [key, o] : m.occupants) {
      if (!o.holds_room() || o.job->checkpoint.count() <= 0) continue;
      bool placed = false;
      for (auto& to : others) {
        if (to.ref == from->ref || to.empty() || to.price() > from->price()) continue;
        if (!sched::allowed_on(*o.job, to) || !sched::fits(*o.job, to.free)) continue;
        if (o.job->one_zone || o.job->spread) continue;
        to.free.add(*o.job, -1);
        placed = true;
        break;
      }
      fits = fits && placed;
    }
    if (!fits) continue;
    log::info("machine {} is emptied: others have room for its tasks", m.id);
    m.draining = true;
    for (auto& [key, o] : m.occupants) {
      if (o.holds_room() && o.job->checkpoint.count() > 0) {
        stop_occupant(m, o, o.job->save + Seconds(settings_.gang_peer));
      }
    }
    return;
  }
}

void Fleet::machine_gone(const std::string& id) {
  Machine* m = machines_.find(id);
  if (m == nullptr) return;
  Events events;
  machines_.clear(*m, events);
  m->silent = true;
  handle(*m, events);
  refresh(*m);
  machines_.erase(id);
  check_settled();
}

}  // namespace asterstair::fleet
