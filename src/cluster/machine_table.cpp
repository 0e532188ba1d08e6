#include "cluster/machine_table.hpp"

namespace asterstair::cluster {
namespace {

using Phase = TaskAttempt::Phase;

void update_machine(Machine& machine, const Heartbeat& heartbeat, TimePoint now) {
  machine.id = heartbeat.machine;
  machine.address = heartbeat.address;
  machine.type = heartbeat.type;
  machine.zone = heartbeat.zone;
  machine.spot = heartbeat.spot;
  machine.epoch = heartbeat.epoch;
  machine.sequence = heartbeat.sequence;
  machine.reconciled = true;
  machine.lease_expired = false;
  machine.last_heartbeat = now;
  machine.reclaim_at.reset();
  if (heartbeat.preemption_notice) {
    machine.reclaim_at = now + to_duration(*heartbeat.preemption_notice);
  }
}

/// Whether the status implies that the task's image is cached on the machine.
bool implies_image_cached(const TaskStatus& status) {
  if (status.state == TaskState::Exited) return status.cause == ExitCause::Done;
  return status.state != TaskState::Fetching;
}

/// Returns the attempt that the status describes. Adds it, and sets `adopted`, if it was not known.
TaskAttempt& find_or_adopt(Machine& machine, const TaskStatus& status, bool& adopted) {
  const auto [entry, added] = machine.attempts.try_emplace({status.attempt, status.task});
  adopted = added;
  TaskAttempt& attempt = entry->second;
  attempt.observed_sequence = machine.sequence;
  if (adopted) {
    machine.usage_stale = true;
    attempt.task = status.task;
    attempt.attempt = status.attempt;
  }
  return attempt;
}

void update_attempt(Machine& machine, const TaskStatus& status, TimePoint now, double cache_gb,
                    std::vector<TaskEvent>& events) {
  bool adopted = false;
  TaskAttempt& attempt = find_or_adopt(machine, status, adopted);
  const Phase before = attempt.phase;
  if (before == Phase::Terminated) return;
  const bool was_running = before == Phase::Observed && attempt.state == TaskState::Running;
  const bool begins_to_run = status.state == TaskState::Running && !was_running;
  attempt.state = status.state;
  if (begins_to_run && !attempt.running_since) attempt.running_since = now;
  if (attempt.job && implies_image_cached(status)) {
    machine.image_cache.use(attempt.job->image, attempt.job->image_gb, cache_gb);
  }
  if (status.state == TaskState::Exited) {
    machine.usage_stale = true;
    attempt.phase = Phase::Terminated;
    attempt.cause = status.cause;
    attempt.saved = status.saved;
    events.push_back({TaskEvent::Kind::Exited, attempt});
    return;
  }
  attempt.phase = Phase::Observed;
  attempt.rejoins = false;
  if (adopted) {
    events.push_back({TaskEvent::Kind::Adopted, attempt});
  } else if (before != Phase::Observed) {
    events.push_back({TaskEvent::Kind::Started, attempt});
  }
  if (begins_to_run) events.push_back({TaskEvent::Kind::Running, attempt});
}

/// Whether the response to a direct command may show an exit from before a start that is in flight.
/// The worker may have answered the direct command before it received the response to an earlier
/// heartbeat, which starts the same attempt again. Only the next heartbeat shows what became of it.
bool exit_may_precede_start(const Machine& machine, const TaskStatus& status,
                            MachineTable::Source source) {
  if (source != MachineTable::Source::DirectResponse) return false;
  if (status.state != TaskState::Exited) return false;
  const auto entry = machine.attempts.find({status.attempt, status.task});
  return entry != machine.attempts.end() && entry->second.rejoins &&
         entry->second.phase == Phase::Dispatched;
}

/// Whether an attempt stays in the table although the heartbeat does not list it. The start command
/// of a pending attempt has not been sent. The response to an earlier heartbeat, with a start
/// command, may still be in flight while the worker answers a direct command, so only the next
/// heartbeat shows whether a dispatched attempt has started.
bool stays_when_unlisted(const TaskAttempt& attempt, MachineTable::Source source) {
  if (attempt.phase == Phase::Pending) return true;
  return attempt.phase == Phase::Dispatched && source == MachineTable::Source::DirectResponse;
}

/// Removes the attempts that the heartbeat does not list: they were lost, or never started. A
/// dispatched attempt that the next heartbeat does not list will not start: the worker drops a
/// response that arrives after it has given up that heartbeat. A terminated attempt that is not
/// listed was dropped by the worker after its acknowledgement.
void remove_unlisted(Machine& machine, MachineTable::Source source,
                     std::vector<TaskEvent>& events) {
  for (auto entry = machine.attempts.begin(); entry != machine.attempts.end();) {
    const TaskAttempt& attempt = entry->second;
    if (attempt.observed_sequence == machine.sequence || stays_when_unlisted(attempt, source)) {
      ++entry;
      continue;
    }
    if (attempt.phase == Phase::Dispatched) {
      events.push_back({TaskEvent::Kind::NotStarted, attempt});
    } else if (attempt.phase == Phase::Observed) {
      events.push_back({TaskEvent::Kind::Vanished, attempt});
    }
    entry = machine.attempts.erase(entry);
    machine.usage_stale = true;
  }
}

}  // namespace

Machine* MachineTable::find(const std::string& id) {
  const auto entry = machines_.find(id);
  return entry == machines_.end() ? nullptr : &entry->second;
}

const Machine* MachineTable::find(const std::string& id) const {
  const auto entry = machines_.find(id);
  return entry == machines_.end() ? nullptr : &entry->second;
}

void MachineTable::clear(Machine& machine, std::vector<TaskEvent>& events) {
  for (const auto& [id, attempt] : machine.attempts) {
    if (attempt.phase == Phase::Terminated) continue;
    const auto kind =
        attempt.phase == Phase::Pending ? TaskEvent::Kind::NotStarted : TaskEvent::Kind::Vanished;
    events.push_back({kind, attempt});
  }
  machine.attempts.clear();
  machine.usage_stale = true;
}

MachineTable::ApplyResult MachineTable::apply(const Heartbeat& heartbeat, TimePoint now,
                                              double cache_gb, std::vector<TaskEvent>& events,
                                              Source source) {
  Machine& machine = machines_[heartbeat.machine];
  // Once the leader has seen a lease expire, all heartbeats of its epoch are stale, even with a
  // higher sequence number: the worker has killed and forgotten all tasks of that epoch.
  if (heartbeat.epoch < machine.first_valid_epoch) return ApplyResult::Stale;
  const HeartbeatPosition position{heartbeat.epoch, heartbeat.sequence};
  const HeartbeatPosition applied{machine.epoch, machine.sequence};
  if (machine.reconciled && position <= applied) return ApplyResult::Stale;
  // A worker kills and forgets all tasks before it begins a new epoch.
  if (heartbeat.epoch > machine.epoch) clear(machine, events);
  update_machine(machine, heartbeat, now);
  for (const auto& status : heartbeat.tasks) {
    if (exit_may_precede_start(machine, status, source)) continue;
    update_attempt(machine, status, now, cache_gb, events);
  }
  remove_unlisted(machine, source, events);
  return ApplyResult::Applied;
}

}  // namespace asterstair::cluster
