#include "leader/consolidator.hpp"

#include <algorithm>
#include <numeric>
#include <optional>
#include <utility>
#include <vector>

#include "base/log.hpp"
#include "sched/constraints.hpp"
#include "sched/score.hpp"

namespace asterstair::leader {
namespace {

using cluster::Machine;
using cluster::TaskAttempt;

// A task that is expected to end within this time is left to end on its machine.
constexpr Seconds kMaxRemainingInPlace{15};
// Run time after which a task may be moved, so that it is not moved more often than this.
constexpr auto kMinTimeBetweenMoves = 30s;
// A task is moved only if its remaining time is at least this multiple of the cost of the move.
constexpr double kMinRemainingPerMove = 4;
// Machines drained at a time: at least kMinBatchSize, and in a large fleet one for every
// kMachinesPerBatchSlot machines. The number is limited because the tasks on them restart.
constexpr std::size_t kMinBatchSize = 6;
constexpr std::size_t kMachinesPerBatchSlot = 30;
// A task that exceeds its estimate is expected to run on for this share of its run time so far.
constexpr double kOverrunShare = 0.3;

bool can_save(const JobSpec& job) { return job.checkpoint_interval.count() > 0; }

// Price of the machine's idle resources, in the unit of the catalog.
double idle_cost(const sched::PlanMachine& machine) {
  const double share = machine.type->gpus > 0 ? machine.free.gpus / machine.type->gpus
                                              : machine.free.cpus / machine.type->cpus;
  return machine.price() * share;
}

std::vector<std::size_t> costliest_idle_first(const std::vector<sched::PlanMachine>& machines) {
  std::vector<std::size_t> order(machines.size());
  std::iota(order.begin(), order.end(), 0);
  std::sort(order.begin(), order.end(), [&](std::size_t first, std::size_t second) {
    return std::pair(idle_cost(machines[first]), first) >
           std::pair(idle_cost(machines[second]), second);
  });
  return order;
}

/// Plans the moves of tasks from drained machines to others that are in use and cost no more.
class MovePlan {
 public:
  explicit MovePlan(std::vector<sched::PlanMachine>& machines)
      : machines_(machines), emptied_(machines.size(), false) {}

  /// Reserves room on other machines for all the tasks, or for none and returns false. If it
  /// succeeds, machine `from` receives no tasks from later moves.
  bool move_all(std::size_t from, const std::vector<const JobSpec*>& tasks) {
    std::vector<std::size_t> targets;
    for (const auto* job : tasks) {
      const auto target = best_fit(from, *job);
      if (!target) {
        undo(targets, tasks);
        return false;
      }
      machines_[*target].free.add(*job, -1);
      targets.push_back(*target);
    }
    emptied_[from] = true;
    return true;
  }

 private:
  void undo(const std::vector<std::size_t>& targets, const std::vector<const JobSpec*>& tasks) {
    for (std::size_t task = 0; task < targets.size(); ++task) {
      machines_[targets[task]].free.add(*tasks[task]);
    }
  }

  bool may_receive(std::size_t from, std::size_t to, const JobSpec& job) const {
    const auto& target = machines_[to];
    if (to == from || emptied_[to] || target.empty()) return false;
    return target.price() <= machines_[from].price() && sched::allowed_on(job, target) &&
           sched::fits(job, target.free);
  }

  std::optional<std::size_t> best_fit(std::size_t from, const JobSpec& job) const {
    if (job.one_zone || job.spread) return std::nullopt;
    std::optional<std::size_t> best;
    for (std::size_t to = 0; to < machines_.size(); ++to) {
      if (!may_receive(from, to, job)) continue;
      if (!best || idle_cost(machines_[to]) < idle_cost(machines_[*best])) best = to;
    }
    return best;
  }

  std::vector<sched::PlanMachine>& machines_;
  std::vector<bool> emptied_;
};

std::vector<const JobSpec*> tasks_to_move(const Machine& machine) {
  std::vector<const JobSpec*> tasks;
  for (const auto& [id, attempt] : machine.attempts) {
    if (attempt.holds_resources() && can_save(*attempt.job)) tasks.push_back(attempt.job.get());
  }
  return tasks;
}

}  // namespace

// Whether each task is worth moving or ends within kMaxRemainingInPlace, and at least one can be
// moved.
bool Consolidator::worth_moving(const Machine& machine) const {
  bool any_movable = false;
  for (const auto& [id, attempt] : machine.attempts) {
    if (!attempt.holds_resources()) continue;
    if (!worth_moving(machine, attempt)) return false;
    any_movable = any_movable ||
                  (can_save(*attempt.job) && (!attempt.job->gang() || attempt.job->tasks == 1));
  }
  return any_movable;
}

bool Consolidator::worth_moving(const Machine& machine, const TaskAttempt& attempt) const {
  if (attempt.phase != TaskAttempt::Phase::Observed || attempt.state != TaskState::Running ||
      attempt.stopping() || !attempt.job) {
    return false;
  }
  const JobSpec& job = *attempt.job;
  const auto running_for = context_.now() - *attempt.running_since;
  const Seconds run_time(running_for);
  const Seconds remaining = std::max(job.estimate - run_time, run_time * kOverrunShare);
  const bool movable = can_save(job) && (!job.gang() || job.tasks == 1);
  if (!movable && remaining > kMaxRemainingInPlace) return false;
  if (running_for < kMinTimeBetweenMoves) return false;
  return !movable || remaining >= cost_of_move(machine, job) * kMinRemainingPerMove;
}

Seconds Consolidator::cost_of_move(const Machine& machine, const JobSpec& job) const {
  const auto* type = context_.catalog.find(machine.type);
  const double fetch_rate = type != nullptr && type->fetch_gb_per_s > 0
                                ? type->fetch_gb_per_s
                                : sched::kDefaultFetchGbPerSecond;
  return job.checkpoint_time + sched::start_delay(job.image_gb, false, fetch_rate);
}

// Stops the tasks that can save a checkpoint, so that they continue on other machines. The others
// are expected to end soon by themselves.
void Consolidator::evict_tasks(Machine& machine) const {
  log::info("machine {} is drained: others have room for its tasks", machine.id);
  machine.service = Machine::Service::Draining;
  for (auto& [id, attempt] : machine.attempts) {
    if (attempt.holds_resources() && can_save(*attempt.job)) {
      machine.request_stop(attempt, gangs_.checkpoint_grace(*attempt.job));
    }
  }
}

void Consolidator::consolidate(const std::function<bool(const Machine&)>& may_remove) {
  if (!recovery_.reconciled() || !context_.election.lease_valid()) return;
  if (!scheduling_.demand().empty()) return;
  auto input = snapshots_.build();
  if (!input.jobs.empty()) return;
  auto& planned = input.snapshot.machines;
  MovePlan moves(planned);
  const std::size_t batch = std::max(kMinBatchSize, planned.size() / kMachinesPerBatchSlot);
  std::size_t emptied = 0;
  for (const auto index : costliest_idle_first(planned)) {
    if (emptied >= batch) break;
    Machine& machine = *input.machines[planned[index].ref];
    if (planned[index].empty() || !worth_moving(machine) || !may_remove(machine)) continue;
    if (!moves.move_all(index, tasks_to_move(machine))) continue;
    ++emptied;
    evict_tasks(machine);
  }
}

}  // namespace asterstair::leader
