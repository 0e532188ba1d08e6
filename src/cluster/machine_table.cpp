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

/// Whether the status shows that the task's image is on the machine.
bool shows_image(const TaskStatus& status) {
  if (status.state == TaskState::Exited) return status.cause == ExitCause::Done;
  return status.state != TaskState::Fetching;
}

/// The attempt that the status is about; `adopted` if it was not known.
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
  if (attempt.job && shows_image(status)) {
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
  if (adopted) {
    events.push_back({TaskEvent::Kind::Adopted, attempt});
  } else if (before != Phase::Observed) {
    events.push_back({TaskEvent::Kind::Started, attempt});
  }
  if (begins_to_run) events.push_back({TaskEvent::Kind::Running, attempt});
}

/// Whether an attempt that the heartbeat does not name stays. A pending one has not been sent. The
/// response to an earlier heartbeat may still be under way while a direct command is answered, so
/// only the next heartbeat settles a start command.
bool stays_unreported(const TaskAttempt& attempt, MachineTable::Source source) {
  if (attempt.phase == Phase::Pending) return true;
  return attempt.phase == Phase::Dispatched && source == MachineTable::Source::DirectAnswer;
}

/// Removes what the heartbeat does not name: it is gone, or was never started. A start command is
/// settled by the next heartbeat, since the worker drops the response to a heartbeat that it has
/// given up. A terminated attempt was dropped as acknowledged.
void remove_unreported(Machine& machine, MachineTable::Source source,
                       std::vector<TaskEvent>& events) {
  for (auto entry = machine.attempts.begin(); entry != machine.attempts.end();) {
    const TaskAttempt& attempt = entry->second;
    if (attempt.observed_sequence == machine.sequence || stays_unreported(attempt, source)) {
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

MachineTable::Order MachineTable::apply(const Heartbeat& heartbeat, TimePoint now, double cache_gb,
                                        std::vector<TaskEvent>& events, Source source) {
  Machine& machine = machines_[heartbeat.machine];
  // Once a lease has expired here, heartbeats of its epoch are late, however new they look: the
  // worker has killed and forgotten all of it.
  if (heartbeat.epoch < machine.first_valid_epoch) return Order::Late;
  const HeartbeatPosition position{heartbeat.epoch, heartbeat.sequence};
  const HeartbeatPosition applied{machine.epoch, machine.sequence};
  if (machine.reconciled && position <= applied) return Order::Late;
  // A new epoch begins after the worker has killed and forgotten all tasks.
  if (heartbeat.epoch > machine.epoch) clear(machine, events);
  update_machine(machine, heartbeat, now);
  for (const auto& status : heartbeat.tasks) update_attempt(machine, status, now, cache_gb, events);
  remove_unreported(machine, source, events);
  return Order::New;
}

}  // namespace asterstair::cluster
