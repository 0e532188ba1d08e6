// Emptying machines: for their return, and of costly ones in lulls.

#include <algorithm>
#include <numeric>

#include "base/log.hpp"
#include "leader/term.hpp"
#include "sched/constraints.hpp"
#include "sched/score.hpp"

namespace asterstair::leader {
namespace {

constexpr Seconds kEndsSoon{15};
constexpr auto kMoveEvery = 30s;
// Machines known to be gone; their names are not used again, and late copies of their heartbeats
// come within minutes.
constexpr std::size_t kMostGone = 20000;
constexpr double kMoveWorth = 4;
// Machines at a time, and of a large fleet one in so many: their tasks all restart.
constexpr std::size_t kMostEmptied = 6, kEmptiedOf = 30;
// A task that outlasts its estimate goes on, as a rule, for a share of what it has run.
constexpr double kOutlasts = 0.3;

}  // namespace

void Term::drain(const std::string& id) {
  Machine* m = machines_.find(id);
  if (m != nullptr && m->service == Machine::Service::InUse)
    m->service = Machine::Service::Draining;
}

// Also of a machine that has not been heard of: it may come up before the cloud takes it.
void Term::begin_return(const std::string& id) {
  returning_.insert(id);
  if (Machine* m = machines_.find(id)) m->service = Machine::Service::Returning;
}

bool Term::known_empty(const std::string& id) const {
  const Machine* m = machines_.find(id);
  return m != nullptr && m->reconciled && m->service != Machine::Service::InUse &&
         m->attempts.empty();
}

void Term::open_returns_known() {
  open_returns_known_ = true;
  finish_loading();
}

// Whether all that runs there is worth moving: it can save, and has more left than a move costs;
// or ends soon by itself.
bool Term::can_move(const Machine& m) const {
  const auto now = runtime_.now();
  bool any = false;
  for (const auto& [key, o] : m.attempts) {
    if (!o.holds_resources()) continue;
    if (o.phase != TaskAttempt::Phase::Observed || o.state != TaskState::Running || o.stop ||
        !o.job) {
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

namespace {

// What stands idle on a machine costs so much an hour.
double idle_cost(const sched::PlanMachine& m) {
  const double share = m.type->gpus > 0 ? m.free.gpus / m.type->gpus : m.free.cpus / m.type->cpus;
  return m.price() * share;
}

std::vector<std::size_t> costliest_idle_first(const std::vector<sched::PlanMachine>& machines) {
  std::vector<std::size_t> out(machines.size());
  std::iota(out.begin(), out.end(), 0);
  std::sort(out.begin(), out.end(), [&](std::size_t x, std::size_t y) {
    return std::pair(idle_cost(machines[x]), x) > std::pair(idle_cost(machines[y]), y);
  });
  return out;
}

// Where the tasks of machines that are emptied would go: on others in use, no dearer.
class Consolidation {
 public:
  explicit Consolidation(std::vector<sched::PlanMachine>& machines)
      : machines_(machines), leaving_(machines.size(), false) {}

  // Takes up room for the jobs' tasks, all or none. The machine takes up no more then.
  bool move_all(std::size_t from, const std::vector<const JobSpec*>& tasks) {
    std::vector<std::size_t> moved_to;
    for (const auto* job : tasks) {
      const auto to = fullest_with_room(from, *job);
      if (!to) {
        for (std::size_t i = 0; i < moved_to.size(); ++i) {
          machines_[moved_to[i]].free.add(*tasks[i]);
        }
        return false;
      }
      machines_[*to].free.add(*job, -1);
      moved_to.push_back(*to);
    }
    leaving_[from] = true;
    return true;
  }

 private:
  std::optional<std::size_t> fullest_with_room(std::size_t from, const JobSpec& job) const {
    if (job.one_zone || job.spread) return std::nullopt;
    std::optional<std::size_t> best;
    for (std::size_t to = 0; to < machines_.size(); ++to) {
      const auto& m = machines_[to];
      if (to == from || leaving_[to] || m.empty() || m.price() > machines_[from].price()) continue;
      if (!sched::allowed_on(job, m) || !sched::fits(job, m.free)) continue;
      if (!best || idle_cost(m) < idle_cost(machines_[*best])) best = to;
    }
    return best;
  }

  std::vector<sched::PlanMachine>& machines_;
  std::vector<bool> leaving_;
};

}  // namespace

// Its tasks that save are stopped, to go on elsewhere; the others end soon.
void Term::empty(Machine& m) {
  log::info("machine {} is emptied: others have room for its tasks", m.id);
  m.service = Machine::Service::Draining;
  for (auto& [key, o] : m.attempts) {
    if (o.holds_resources() && o.job->checkpoint.count() > 0) {
      stop_attempt(m, o, o.job->save + Seconds(settings_.gang_peer));
    }
  }
}

void Term::consolidate(const std::function<bool(const Machine&)>& spare) {
  if (!reconciled_ || !election_.lease_valid() || !demand_.empty()) return;
  auto s = snapshot();
  if (!s.jobs.empty()) return;
  Consolidation consolidation(s.machines);
  const std::size_t most = std::max(kMostEmptied, s.machines.size() / kEmptiedOf);
  std::size_t emptied = 0;
  for (const auto from : costliest_idle_first(s.machines)) {
    if (emptied >= most) break;
    Machine& m = *planned_machines_[s.machines[from].ref];
    if (s.machines[from].empty() || !can_move(m) || !spare(m)) continue;
    std::vector<const JobSpec*> tasks;
    for (const auto& [key, o] : m.attempts) {
      if (o.holds_resources() && o.job->checkpoint.count() > 0) tasks.push_back(o.job.get());
    }
    if (!consolidation.move_all(from, tasks)) continue;
    ++emptied;
    empty(m);
  }
}

void Term::machine_gone(const std::string& id) {
  returning_.erase(id);
  // Names come in the order of the rentals: the oldest are the least likely to be heard of again.
  gone_.insert(id);
  if (gone_.size() > kMostGone) gone_.erase(gone_.begin());
  Machine* m = machines_.find(id);
  if (m == nullptr) return;
  Events events;
  machines_.clear(*m, events);
  m->lease_expired = true;
  handle(*m, events);
  refresh(*m);
  machines_.erase(id);
  registry_stale_ = true;
  pending_reconciliation_.erase(id);
  check_reconciled();
}

}  // namespace asterstair::leader
