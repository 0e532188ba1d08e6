#include "leader/worker_health.hpp"

#include <algorithm>

#include "base/log.hpp"

namespace asterstair::leader {
namespace {

using cluster::Machine;
using cluster::TaskAttempt;
using cluster::TaskEvent;

// Epochs, and responses with start commands, that are lost in a row before a machine counts as
// unresponsive. One of each is lost in a short interruption.
constexpr std::uint32_t kMaxEpochsLost = 2;
constexpr std::uint32_t kMaxStartsUnobserved = 2;
// Responses that bring the token are repeated for this part of a lease.
constexpr int kTokenLeaseNumerator = 3;
constexpr int kTokenLeaseDenominator = 5;
constexpr auto kNoRoomPause = 3s;    // of a machine that refused a start
constexpr auto kFailurePause = 10s;  // of a machine whose last task failed
// A machine is faulty after failures of so many jobs, or so many failures in a row.
constexpr std::size_t kFaultyJobs = 2;
constexpr std::uint32_t kFaultyFailures = 6;
constexpr Duration kMaxBackoff = 60s;
constexpr std::uint32_t kMaxBackoffDoublings = 5;

}  // namespace

bool WorkerHealth::schedulable(const Machine& machine, TimePoint now) const {
  const auto& health = machine.health;
  return machine.reconciled && !machine.lease_expired &&
         machine.service == Machine::Service::InUse && !health.faulty && !machine.reclaim_at &&
         !health.unresponsive_since && now >= health.insufficient_room_until &&
         now >= health.paused_until &&
         now - machine.last_heartbeat < context_.settings.heartbeat_interval * 5 / 2 + 1s;
}

bool WorkerHealth::never_saw_token(const Machine& machine) const {
  const auto limit = context_.settings.lease * kTokenLeaseNumerator / kTokenLeaseDenominator;
  return !machine.reconciled && !machine.lease_expired && machine.first_answered &&
         context_.now() - *machine.first_answered > limit;
}

// A partition may cost several epochs, all of which are seen at once when it ends. Only epochs that
// are lost one after the other, while heartbeats arrive, show that responses do not.
void WorkerHealth::on_epoch_lost(Machine& machine) {
  const auto now = context_.now();
  if (now - machine.health.epoch_lost_at <= context_.settings.lease / 2) return;
  machine.health.epoch_lost_at = now;
  if (++machine.health.epochs_lost >= kMaxEpochsLost) mark_unresponsive(machine);
}

// An unresponsive machine takes up work that never starts. It gets more only after it has kept its
// epoch for a whole lease, which it can only if responses reach it.
void WorkerHealth::on_heartbeat(Machine& machine, const std::vector<TaskEvent>& events) {
  auto& health = machine.health;
  const bool probation_over = context_.now() >= health.unresponsive_until;
  for (const auto& event : events) {
    if (event.kind == TaskEvent::Kind::Started) {
      health.starts_unobserved = health.epochs_lost = 0;
      if (health.unresponsive_since && probation_over) health.unresponsive_since.reset();
    }
    if (event.kind == TaskEvent::Kind::NotStarted &&
        event.attempt.phase == TaskAttempt::Phase::Dispatched) {
      if (++health.starts_unobserved >= kMaxStartsUnobserved) mark_unresponsive(machine);
      break;  // one response, however many start commands it held
    }
  }
  if (health.unresponsive_since && context_.now() >= health.unresponsive_until) {
    health.unresponsive_since.reset();
    health.starts_unobserved = health.epochs_lost = 0;
  }
}

void WorkerHealth::mark_unresponsive(Machine& machine) {
  const auto now = context_.now();
  const auto& settings = context_.settings;
  if (!machine.health.unresponsive_since) {
    machine.health.unresponsive_since = now;
    log::info("machine {} sends heartbeats, but responses seem not to reach it", machine.id);
  }
  // A lease that expires shows in the heartbeat after that.
  machine.health.unresponsive_until =
      now + settings.lease + settings.heartbeat_interval * 2 + kLeaseMargin;
}

void WorkerHealth::on_task_done(Machine& machine) {
  machine.health.failures = 0;
  machine.health.failed_jobs.clear();
}

void WorkerHealth::on_task_failed(Machine& machine, cluster::Job& job) {
  const auto now = context_.now();
  const bool new_machine = job.failed_on.insert(machine.id).second;
  if (job.failed_on.size() >= kMaxMachinesAtFault) {
    back_off(job, new_machine);
    return;
  }
  auto& health = machine.health;
  health.failed_jobs.insert(job.spec->id);
  // All tasks of an array that fail together count once: a job with a mistake may put dozens on a
  // machine before it is known for what it is.
  if (now >= health.paused_until) ++health.failures;
  health.paused_until = now + kFailurePause;
  const bool too_many =
      health.failed_jobs.size() >= kFaultyJobs || health.failures >= kFaultyFailures;
  if (health.faulty || !too_many) return;
  health.faulty = true;
  log::info("machine {} fails its tasks ({} in a row, {} jobs); it is quarantined", machine.id,
            health.failures, health.failed_jobs.size());
}

// The job fails wherever it goes: it was submitted with a mistake. It is retried with exponential
// backoff until its user cancels it, and no longer held against the machines.
void WorkerHealth::back_off(cluster::Job& job, bool new_machine) {
  const auto now = context_.now();
  if (!new_machine && now < job.not_before) return;
  const auto doublings = std::min(job.backoff_rounds, kMaxBackoffDoublings);
  const auto pause = std::min<Duration>(kInitialBackoff * (1U << doublings), kMaxBackoff);
  job.not_before = now + pause;
  ++job.backoff_rounds;
  log::info("job {} fails on several machines; next attempt in {:.0f} s", job.spec->id,
            seconds(pause));
  for (const auto& id : job.failed_on) {
    if (Machine* machine = cluster_.machines.find(id)) {
      machine->health.failed_jobs.erase(job.spec->id);
    }
  }
}

void WorkerHealth::on_start_refused(Machine& machine) {
  machine.health.insufficient_room_until = context_.now() + kNoRoomPause;
}

}  // namespace asterstair::leader
