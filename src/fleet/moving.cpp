// Emptying machines: for their return, and of costly ones in lulls.

#include <algorithm>
#include <numeric>

#include "base/log.hpp"
#include "fleet/fleet.hpp"
#include "sched/constraints.hpp"
#include "sched/score.hpp"

namespace asterstair::fleet {
namespace {

constexpr Seconds kEndsSoon{15};
constexpr auto kMoveEvery = 30s;
constexpr std::size_t kMostGone = 5000;
constexpr double kMoveWorth = 4;
// Machines at a time, and of a large fleet one in so many: their tasks all restart.
constexpr std::size_t kMostEmptied = 6, kEmptiedOf = 30;
// A task that outlasts its estimate goes on, as a rule, for a share of what it has run.
constexpr double kOutlasts = 0.3;

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
    const Seconds ran(now - o.running_since);
    const Seconds left = std::max(o.job->estimate - ran, ran * kOutlasts);
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
  auto s = snapshot();
  if (!s.jobs.empty()) return;
  // Those that cost most for what stands idle on them first.
  const auto idle = [](const sched::PlanMachine& m) {
    const double share = m.type->gpus > 0 ? m.free.gpus / m.type->gpus : m.free.cpus / m.type->cpus;
    return m.price() * share;
  };
  std::vector<std::size_t> order(s.machines.size());
  std::iota(order.begin(), order.end(), 0);
  std::sort(order.begin(), order.end(), [&](std::size_t x, std::size_t y) {
    return std::pair(idle(s.machines[x]), x) > std::pair(idle(s.machines[y]), y);
  });
  std::vector<bool> leaving(s.machines.size(), false);
  std::size_t emptied = 0;
  for (const auto from : order) {
    if (emptied >= std::max(kMostEmptied, s.machines.size() / kEmptiedOf)) break;
    Machine& m = *planned_machines_[s.machines[from].ref];
    if (s.machines[from].empty() || !can_move(m) || !spare(m)) continue;
    std::vector<std::pair<std::size_t, const JobSpec*>> moves;
    bool fits = true;
    for (const auto& [key, o] : m.occupants) {
      if (!o.holds_room() || o.job->checkpoint.count() <= 0) continue;
      // The fullest that has room.
      std::optional<std::size_t> best;
      for (std::size_t to = 0; to < s.machines.size(); ++to) {
        const auto& t = s.machines[to];
        if (to == from || leaving[to] || t.empty() || t.price() > s.machines[from].price())
          continue;
        if (o.job->one_zone || o.job->spread) continue;
        if (!sched::allowed_on(*o.job, t) || !sched::fits(*o.job, t.free)) continue;
        if (!best || idle(t) < idle(s.machines[*best])) best = to;
      }
      if (!best) {
        fits = false;
        break;
      }
      s.machines[*best].free.add(*o.job, -1);
      moves.emplace_back(*best, o.job.get());
    }
    if (!fits) {
      for (const auto& [to, job] : moves) s.machines[to].free.add(*job);
      continue;
    }
    leaving[from] = true;
    ++emptied;
    log::info("machine {} is emptied: others have room for its tasks", m.id);
    m.draining = true;
    for (auto& [key, o] : m.occupants) {
      if (o.holds_room() && o.job->checkpoint.count() > 0) {
        stop_occupant(m, o, o.job->save + Seconds(settings_.gang_peer));
      }
    }
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
  // Names come in the order of the rentals: the oldest are the least likely to be heard of again.
  gone_.insert(id);
  if (gone_.size() > kMostGone) gone_.erase(gone_.begin());
  check_settled();
}

}  // namespace asterstair::fleet
