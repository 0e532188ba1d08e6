#include "leader/attempt_tracker.hpp"

#include <algorithm>

#include "base/log.hpp"
#include "store/records.hpp"

namespace asterstair::leader {
namespace {

using cluster::Job;
using cluster::JobTable;
using cluster::Machine;
using cluster::TaskAttempt;
using cluster::TaskEvent;

const char* cause_name(ExitCause cause) {
  switch (cause) {
    case ExitCause::None:
      return "unstated";
    case ExitCause::Done:
      return "done";
    case ExitCause::Stopped:
      return "stopped";
    case ExitCause::PeerLost:
      return "peers";
    case ExitCause::PeersMissing:
      return "alone";
    case ExitCause::Error:
      return "error";
    case ExitCause::NoRoom:
      return "no room";
    case ExitCause::Busy:
      return "busy";
    case ExitCause::Unknown:
      return "unknown";
  }
  return "";
}

/// Run time of an ended attempt that its checkpoints have saved, in seconds.
double saved_seconds(const TaskAttempt& attempt, const JobSpec& job, TimePoint now) {
  const double run_time = seconds(now - *attempt.running_since);
  if (attempt.saved) return run_time;
  const double interval = job.checkpoint_interval.count();
  return static_cast<double>(static_cast<std::int64_t>(run_time / interval)) * interval;
}

}  // namespace

void AttemptTracker::apply(Machine& machine, const std::vector<TaskEvent>& events) {
  for (const auto& event : events) {
    trigger_.request();
    apply_event(machine, event);
  }
}

void AttemptTracker::apply_event(Machine& machine, const TaskEvent& event) {
  switch (event.kind) {
    case TaskEvent::Kind::Started:
      on_started(machine, event.attempt);
      break;
    case TaskEvent::Kind::Running:
      on_running(machine, event.attempt);
      break;
    case TaskEvent::Kind::Adopted:
      on_adopted(machine, event.attempt);
      break;
    case TaskEvent::Kind::Exited:
      on_exited(machine, event.attempt);
      break;
    case TaskEvent::Kind::NotStarted:
      on_not_started(machine, event.attempt);
      break;
    case TaskEvent::Kind::Vanished:
      on_lost(machine, event.attempt);
      break;
  }
}

void AttemptTracker::on_started(const Machine& machine, const TaskAttempt& attempt) {
  Job* job = cluster_.jobs.find(attempt.task.job);
  if (job == nullptr || job->first_task_started) return;
  job->first_task_started = true;
  log::info("job {} of {}: first task on {} after {:.1f} s", attempt.task.job, job->spec->job_class,
            machine.id, timing_.age(*job).count());
}

void AttemptTracker::on_running(const Machine& machine, const TaskAttempt& attempt) {
  Job* job = cluster_.jobs.find(attempt.task.job);
  if (job == nullptr) return;
  JobTable::mark_running(*job, attempt.task.index, {machine.id, attempt.attempt});
  if (!job->ran) log_first_run(*job);
}

// A reported task is stopped if its job is not live, or if the task is done or assigned elsewhere.
void AttemptTracker::on_adopted(Machine& machine, const TaskAttempt& attempt) {
  TaskAttempt& adopted = machine.attempts.at({attempt.attempt, attempt.task});
  Job* job = cluster_.jobs.find(attempt.task.job);
  if (job != nullptr) adopted.job = job->spec;
  if (job == nullptr ||
      !JobTable::assign(*job, attempt.task.index, {machine.id, attempt.attempt})) {
    machine.request_stop(adopted, Seconds(0));
  } else {
    job->first_task_started = true;
  }
}

void AttemptTracker::on_exited(Machine& machine, const TaskAttempt& attempt) {
  Job* job = cluster_.jobs.find(attempt.task.job);
  if (job != nullptr && attempt.cause == ExitCause::Done) {
    on_done(machine, attempt, *job);  // acknowledged once the completion is durable
    return;
  }
  if (job != nullptr && rejoin_gang(machine, attempt, *job)) return;
  machine.attempts.at({attempt.attempt, attempt.task}).acknowledge = true;
  if (job != nullptr) on_failed(machine, attempt, *job);
}

// A gang completes as a whole: when one of its tasks is done, all of them are.
void AttemptTracker::on_done(Machine& machine, const TaskAttempt& attempt, Job& job) {
  health_.on_task_done(machine);
  const auto tasks_per_chunk = store::tasks_per_progress_chunk(context_.settings.value_bytes);
  const auto first = job.spec->gang() ? 0 : attempt.task.index;
  const auto last = job.spec->gang() ? job.spec->tasks - 1 : attempt.task.index;
  for (auto task = first; task <= last; ++task) {
    JobTable::mark_done(job, task, task / tasks_per_chunk);
  }
  JobTable::unassign(job, attempt.task.index, {machine.id, attempt.attempt});
  if (job.all_done()) progress_.complete(job);
}

// A gang task that exits because the gang was not complete within `gang_wait_s` is started again at
// once, with the same attempt number (PROTOCOL, Gangs: a replacement with the same attempt number
// completes the gang). If the whole gang were stopped instead, the tasks that still fetch the image
// would give the fetch up, and the next attempt would end like this one. Returns false if the gang
// must be stopped: the machine may get no more work, or another task of the gang is lost.
bool AttemptTracker::rejoin_gang(Machine& machine, const TaskAttempt& attempt, const Job& job) {
  if (attempt.cause != ExitCause::PeersMissing) return false;
  if (!may_start_again(machine, attempt, job)) return false;
  log::debug("task {}/{} rejoins its gang on {}", attempt.task.job, attempt.task.index, machine.id);
  machine.attempts.at({attempt.attempt, attempt.task}).begin_rejoin();
  machine.usage_stale = true;
  return true;
}

// The start of a gang task was lost with its response. It is sent again: if the task were assigned
// anew, the whole gang would have to be stopped and begin again. Other tasks, and those whose start
// was never sent, wait to be assigned again.
void AttemptTracker::on_not_started(Machine& machine, const TaskAttempt& attempt) {
  const Job* job = cluster_.jobs.find(attempt.task.job);
  const bool start_was_lost = attempt.phase == TaskAttempt::Phase::Dispatched;
  if (job == nullptr || !job->spec->gang() || !start_was_lost ||
      !may_start_again(machine, attempt, *job)) {
    unassign(machine, attempt);
    return;
  }
  TaskAttempt again = attempt;
  again.phase = TaskAttempt::Phase::Pending;
  machine.attempts.insert_or_assign({attempt.attempt, attempt.task}, std::move(again));
  machine.usage_stale = true;
}

// Whether an attempt that is not on its machine may be started there once more, because nothing has
// changed: no other task of its job is lost, and the machine may get work.
bool AttemptTracker::may_start_again(const Machine& machine, const TaskAttempt& attempt,
                                     const Job& job) const {
  return !attempt.stopping() && is_assigned(job, machine, attempt) && job.waiting.empty() &&
         health_.schedulable(machine);
}

void AttemptTracker::on_failed(Machine& machine, const TaskAttempt& attempt, Job& job) {
  log::debug("task {}/{} ended on {}: {}{}", attempt.task.job, attempt.task.index, machine.id,
             cause_name(attempt.cause), attempt.saved ? ", saved" : "");
  switch (attempt.cause) {
    case ExitCause::Error:
      health_.on_task_failed(machine, job);
      break;
    case ExitCause::NoRoom:
      health_.on_start_refused(machine);
      break;
    case ExitCause::Busy:
    case ExitCause::Unknown:
      job.not_before = context_.now() + WorkerHealth::kInitialBackoff;
      break;
    default:
      break;
  }
  unassign(machine, attempt);
}

void AttemptTracker::on_lost(const Machine& machine, const TaskAttempt& attempt) {
  if (!unassign(machine, attempt)) return;
  log::debug("task {}/{} lost on {}", attempt.task.job, attempt.task.index, machine.id);
}

bool AttemptTracker::is_assigned(const Job& job, const Machine& machine,
                                 const TaskAttempt& attempt) {
  const auto assignment = job.assignments.find(attempt.task.index);
  return assignment != job.assignments.end() && assignment->second.machine == machine.id &&
         assignment->second.attempt == attempt.attempt;
}

// Keeps the task's checkpointed progress, and returns the task to the waiting tasks. Returns false
// if the task was not assigned to this attempt.
bool AttemptTracker::unassign(const Machine& machine, const TaskAttempt& attempt) {
  Job* job = cluster_.jobs.find(attempt.task.job);
  if (job == nullptr) return false;
  if (!is_assigned(*job, machine, attempt)) return false;
  const auto task = attempt.task.index;
  if (attempt.running_since) {
    if (job->spec->checkpoint_interval.count() > 0) {
      job->saved_seconds[task] += saved_seconds(attempt, *job->spec, context_.now());
    }
    job->last_zone = machine.zone;
  }
  JobTable::unassign(*job, task, {machine.id, attempt.attempt});
  return true;
}

// Logs once per job how long it waited for its first task to run, or for all tasks of a gang.
void AttemptTracker::log_first_run(Job& job) {
  if (job.spec->gang() && !all_running(job)) return;
  job.ran = true;
  log::info("job {} of {}: {} tasks, room after {:.1f} s, running after {:.1f} s", job.spec->id,
            job.spec->job_class, job.spec->tasks, job.age_when_assigned.count(),
            timing_.age(job).count());
}

bool AttemptTracker::all_running(const Job& job) {
  if (!job.waiting.empty()) return false;
  return std::all_of(job.assignments.begin(), job.assignments.end(), [&](const auto& entry) {
    const auto& [index, assignment] = entry;
    Machine* machine = cluster_.machines.find(assignment.machine);
    if (machine == nullptr) return false;
    const TaskAttempt* attempt = machine->find_attempt({job.spec->id, index}, assignment.attempt);
    return attempt != nullptr && attempt->state == TaskState::Running;
  });
}

void AttemptTracker::discard_stale_assignments(Machine& machine) {
  const bool schedulable = health_.schedulable(machine);
  std::vector<TaskEvent> events;
  for (auto entry = machine.attempts.begin(); entry != machine.attempts.end();) {
    const TaskAttempt& attempt = entry->second;
    const bool stale =
        attempt.stopping() || !schedulable || cluster_.jobs.find(attempt.task.job) == nullptr;
    if (attempt.phase != TaskAttempt::Phase::Pending || !stale) {
      ++entry;
      continue;
    }
    events.push_back({TaskEvent::Kind::NotStarted, attempt});
    entry = machine.attempts.erase(entry);
    machine.usage_stale = true;
  }
  apply(machine, events);
}

void AttemptTracker::release_unschedulable_machines() {
  const auto now = context_.now();
  for (auto& [id, machine] : cluster_.machines.all()) {
    if (!machine.attempts.empty() && !health_.schedulable(machine, now)) {
      discard_stale_assignments(machine);
    }
  }
}

}  // namespace asterstair::leader
