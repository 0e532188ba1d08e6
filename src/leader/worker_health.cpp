#include "leader/worker_health.hpp"

#include <algorithm>

#include "base/log.hpp"

namespace asterstair::leader {
namespace {

using cluster::Machine;
using cluster::TaskAttempt;
using cluster::TaskEvent;

// Consecutive lost epochs, and consecutive responses whose start commands have no effect, from
// which a machine counts as unresponsive. A short interruption may cost one of each.
constexpr std::uint32_t kLostEpochsThreshold = 2;
constexpr std::uint32_t kUnobservedStartsThreshold = 2;
// Part of a lease for which heartbeats of a worker that has not seen the token are still accepted,
// so that the response with the token is repeated.
constexpr int kTokenTimeoutNumerator = 3;
constexpr int kTokenTimeoutDenominator = 5;
constexpr auto kNoRoomPause = 3s;    // pause of a machine that refused a start
constexpr auto kFailurePause = 10s;  // pause of a machine on which a task failed
// A machine is quarantined after failures of this many jobs, or this many failures in a row.
constexpr std::size_t kFailedJobsThreshold = 2;
constexpr std::uint32_t kFailuresThreshold = 6;
// Limits of the exponential backoff of a job that fails on several machines.
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
  const auto limit = context_.settings.lease * kTokenTimeoutNumerator / kTokenTimeoutDenominator;
  return !machine.reconciled && !machine.lease_expired && machine.first_response_at &&
         context_.now() - *machine.first_response_at > limit;
}

// A worker may lose several epochs during a partition, all of which become visible at once when it
// ends. Only epochs that are lost one after the other, while heartbeats arrive, show that responses
// are lost. A loss within half a lease of the last counted one is therefore ignored.
void WorkerHealth::on_epoch_lost(Machine& machine) {
  const auto now = context_.now();
  if (now - machine.health.epoch_lost_at <= context_.settings.lease / 2) return;
  machine.health.epoch_lost_at = now;
  if (++machine.health.epochs_lost >= kLostEpochsThreshold) mark_unresponsive(machine);
}

// Work that is assigned to an unresponsive machine never starts. The machine gets new work only
// after it has kept its epoch for a whole lease, which is possible only if responses reach it.
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
      if (++health.starts_unobserved >= kUnobservedStartsThreshold) mark_unresponsive(machine);
      break;  // all start commands of one response count once
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
  // A lost lease becomes visible as a new epoch in the heartbeat that follows it.
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
  if (job.failed_on.size() >= kMinMachinesForFaultyJob) {
    back_off(job, new_machine);
    return;
  }
  auto& health = machine.health;
  health.failed_jobs.insert(job.spec->id);
  // Failures during a pause count once: an array whose tasks all fail may have started dozens of
  // them on the machine before the job is recognized as faulty.
  if (now >= health.paused_until) ++health.failures;
  health.paused_until = now + kFailurePause;
  const bool too_many =
      health.failed_jobs.size() >= kFailedJobsThreshold || health.failures >= kFailuresThreshold;
  if (health.faulty || !too_many) return;
  health.faulty = true;
  log::info("machine {} fails its tasks ({} in a row, {} jobs); it is quarantined", machine.id,
            health.failures, health.failed_jobs.size());
}

// The job fails on every machine, so the job itself is faulty. It is retried with exponential
// backoff until its user cancels it, and its failures no longer count against the machines.
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
