// Heartbeats in, commands out: what the workers say is taken over, and what follows from it.

#include <algorithm>

#include "base/log.hpp"
#include "leader/term.hpp"
#include "store/records.hpp"
#include "wire/user.hpp"
#include "wire/worker.hpp"

namespace asterstair::leader {
namespace {

constexpr auto kLeaseMargin = 300ms;         // beyond drift: steps between clock reading and action
constexpr std::uint32_t kMaxLostEpochs = 2;  // epochs in a row lost without a sign of hearing
constexpr std::uint32_t kStartsUnseen = 2;   // answers in a row whose orders never showed
// For so much of a lease, answers that bring the token are repeated.
constexpr int kTokenTimeoutLeaseNumerator = 3, kTokenTimeoutLeaseDenominator = 5;
constexpr auto kNoRoomPause = 3s;
constexpr auto kFailedPause = 10s;            // of a machine whose last task failed
constexpr std::uint32_t kFaultyJobs = 2;      // failures of so many jobs: the machine is at fault
constexpr std::uint32_t kFaultyFailures = 6;  // or so many times in a row
constexpr auto kBackoffFirst = 4s, kBackoffMost = 60s;

const char* cause_word(ExitCause c) {
  switch (c) {
    case ExitCause::None:
      return "unstated";
    case ExitCause::Done:
      return "done";
    case ExitCause::Stopped:
      return "stopped";
    case ExitCause::Peers:
      return "peers";
    case ExitCause::Alone:
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

}  // namespace

HttpResponse Term::on_heartbeat(const Heartbeat& r) {
  const auto now = runtime_.now();
  last_heartbeat_at_ = now;
  any_heartbeat_ = true;
  // The cloud has confirmed that it is gone, and names are not used twice: a late copy.
  if (gone_.count(r.machine) != 0) return {200, wire::encode_commands(token_, {})};
  Machine& m = machines_.at(r.machine);
  if (m.id.empty()) {
    m.id = r.machine;
    if (returning_.count(m.id) != 0) m.service = Machine::Service::Returning;
  }
  // An answer renews the worker's lease from when the heartbeat was sent. A heartbeat that is not
  // newer than one that has arrived was sent before that one arrived, so an answer to it can renew
  // the lease no further than what was counted then. Late copies must not keep a dead machine's
  // tasks waiting.
  const std::pair age(r.epoch, r.sequence);
  if (age > m.latest_heartbeat) {
    if (r.token != token_ && never_sees_token(m))
      return {503, wire::encode_error("answers are lost")};
    if (!m.first_answered) m.first_answered = now;
    m.latest_heartbeat = age;
    // Until it has seen this leader's token, an earlier leader that is holding a valid lease still
    // may renew its lease as well.
    m.last_answered = r.token == token_ ? now : std::max(now, previous_leaders_expiry_);
  }
  if (r.token != token_) {
    // Sent before the worker knew this leader: what it shows may be older than the last leader's
    // doings. The answer carries the token; the next heartbeat counts.
    return {200, wire::encode_commands(token_, stops_for_ended(r))};
  }
  const bool epoch_lost = m.reconciled && r.epoch > m.epoch;
  Events events;
  if (machines_.apply(r, now, cache_gb(r.type), events) == MachineTable::Order::Late) {
    return {200, wire::encode_commands(token_, stops_for_ended(r))};
  }
  pending_reconciliation_.erase(m.id);
  if (!m.registered) registry_additions_.insert(m.id);
  // A cut may cost epochs, of which all is heard at once when it ends. Losing one after the other
  // while heartbeats arrive shows that answers do not.
  if (epoch_lost && now - m.epoch_lost_at > settings_.lease / 2) {
    m.epoch_lost_at = now;
    if (++m.epochs_lost >= kMaxLostEpochs) seems_unresponsive(m);
  }
  handle(m, events);
  check_responsiveness(m, events);
  on_preemption_notice(m);
  if (!reconciled_) check_reconciled();
  if (plan_wanted_) plan_soon();
  return {200, wire::encode_commands(token_, commands_for(m, r.sequence))};
}

// Answers to a machine have been lost for long: it reports, and has never seen this leader's token.
// Not answered any more, its lease surely runs out, here too, and the term settles without it. That
// a later epoch shows in its heartbeats would prove nothing: a late copy may have been the first to
// arrive, and the later epoch may hold tasks that an earlier leader started.
bool Term::never_sees_token(const Machine& m) const {
  return !m.reconciled && !m.lease_expired && m.first_answered &&
         runtime_.now() - *m.first_answered >
             settings_.lease * kTokenTimeoutLeaseNumerator / kTokenTimeoutLeaseDenominator;
}

// The answer to a direct command shows at once what the next heartbeat would show: room that has
// come free, above all.
void Term::direct_answer(const Heartbeat& r) {
  Machine* m = machines_.find(r.machine);
  if (m == nullptr || !m->reconciled || m->lease_expired || r.token != token_ ||
      r.epoch != m->epoch) {
    return;
  }
  Events events;
  const auto source = MachineTable::Source::DirectAnswer;
  if (machines_.apply(r, runtime_.now(), cache_gb(r.type), events, source) ==
      MachineTable::Order::Late) {
    return;
  }
  handle(*m, events);
  if (plan_wanted_) plan_soon();
}

// A machine whose reports arrive while nothing reaches it takes up work that never starts. After a
// few orders that did not show it must keep its epoch for a whole lease, which it can only if
// answers reach it, before it gets more.
void Term::check_responsiveness(Machine& m, const Events& events) {
  for (const auto& e : events) {
    if (e.kind == TaskEvent::Kind::Started) {
      m.starts_unseen = m.epochs_lost = 0;
      if (m.unresponsive_since && runtime_.now() >= m.unresponsive_until)
        m.unresponsive_since.reset();
    }
    if (e.kind == TaskEvent::Kind::NotStarted &&
        e.task_attempt.phase == TaskAttempt::Phase::Dispatched) {
      if (++m.starts_unseen >= kStartsUnseen) seems_unresponsive(m);
      break;  // one answer, however many orders it held
    }
  }
  if (m.unresponsive_since && runtime_.now() >= m.unresponsive_until) {
    m.unresponsive_since.reset();
    m.starts_unseen = m.epochs_lost = 0;
  }
}

void Term::seems_unresponsive(Machine& m) {
  const auto now = runtime_.now();
  if (!m.unresponsive_since) {
    m.unresponsive_since = now;
    log::info("machine {} reports, but answers seem not to reach it", m.id);
  }
  // A lease that runs out shows in the heartbeat after that.
  m.unresponsive_until = now + settings_.lease + settings_.heartbeat_interval * 2 + kLeaseMargin;
}

void Term::handle(Machine& m, const Events& events) {
  for (const auto& e : events) {
    const TaskAttempt& o = e.task_attempt;
    plan_wanted_ = true;
    switch (e.kind) {
      case TaskEvent::Kind::Started: {
        if (Job* job = jobs_.find(o.task.job); job != nullptr && !job->first_started) {
          job->first_started = true;
          log::info("job {} of {}: first task on {} after {:.1f} s", o.task.job,
                    job->spec->job_class, m.id, age_of(*job).count());
        }
        break;
      }
      case TaskEvent::Kind::Running:
        if (Job* job = jobs_.find(o.task.job); job != nullptr) {
          JobTable::mark_running(*job, o.task.index, {m.id, o.attempt});
          if (!job->ran) note_running(*job);
        }
        break;
      case TaskEvent::Kind::Adopted: {
        TaskAttempt& here = m.attempts.at({o.attempt, o.task});
        Job* job = jobs_.find(o.task.job);
        if (job != nullptr) here.job = job->spec;
        // A reported task whose job is not live is killed; so is one that is done or elsewhere.
        if (job == nullptr || !JobTable::assign(*job, o.task.index, {m.id, o.attempt})) {
          stop_attempt(m, here, Seconds(0));
        } else {
          job->first_started = true;
        }
        break;
      }
      case TaskEvent::Kind::Exited:
        on_exit(m, o);
        break;
      case TaskEvent::Kind::NotStarted:
        on_gone(m, o, false);
        break;
      case TaskEvent::Kind::Vanished:
        on_gone(m, o, true);
        break;
    }
  }
}

// Tells once when a job's first tasks, or all of a gang, run: how long it waited for what.
void Term::note_running(Job& job) {
  if (job.spec->gang()) {
    if (!job.waiting.empty()) return;
    for (const auto& [index, assignment] : job.assignments) {
      Machine* m = machines_.find(assignment.machine);
      const TaskAttempt* o =
          m == nullptr ? nullptr : m->find_attempt({job.spec->id, index}, assignment.attempt);
      if (o == nullptr || o->state != TaskState::Running) return;
    }
  }
  job.ran = true;
  log::info("job {} of {}: {} tasks, room after {:.1f} s, running after {:.1f} s", job.spec->id,
            job.spec->job_class, job.spec->tasks, job.room_after.count(), age_of(job).count());
}

void Term::on_exit(Machine& m, const TaskAttempt& o) {
  TaskAttempt& here = m.attempts.at({o.attempt, o.task});
  const auto now = runtime_.now();
  Job* job = jobs_.find(o.task.job);
  if (job == nullptr) {
    here.acknowledge = true;
    return;
  }
  if (o.cause == ExitCause::Done) {
    m.failures = 0;
    m.failed_jobs.clear();
    const auto per = store::tasks_per_chunk(settings_.value_bytes);
    // A gang completes together: when one task is done, every task is.
    const auto first = job->spec->gang() ? 0 : o.task.index;
    const auto last = job->spec->gang() ? job->spec->tasks - 1 : o.task.index;
    for (auto i = first; i <= last; ++i) JobTable::mark_done(*job, i, i / per);
    JobTable::unassign(*job, o.task.index, {m.id, o.attempt});
    if (job->all_done()) finish(*job);
    return;  // cleared once that is durable
  }
  here.acknowledge = true;
  log::debug("{}/{} ended on {}: {}{}", o.task.job, o.task.index, m.id, cause_word(o.cause),
             o.saved ? ", saved" : "");
  switch (o.cause) {
    case ExitCause::Error:
      on_error(m, *job);
      break;
    case ExitCause::NoRoom:
      m.no_room_until = now + kNoRoomPause;
      break;
    case ExitCause::Busy:
    case ExitCause::Unknown:
      job->not_before = now + kBackoffFirst;
      break;
    default:
      break;
  }
  on_gone(m, o, false);
}

void Term::on_error(Machine& m, Job& job) {
  const auto now = runtime_.now();
  const bool new_here = job.failed_on.insert(m.id).second;
  if (job.failed_on.size() >= kBadJobMachines) {
    // It fails wherever it goes: submitted with a mistake. Tried ever more rarely until its user
    // cancels it, and no longer held against the machines.
    if (new_here || now >= job.not_before) {
      const auto pause = std::min<Duration>(
          kBackoffFirst * (1U << std::min(job.failure_rounds, 5U)), kBackoffMost);
      job.not_before = now + pause;
      ++job.failure_rounds;
      log::info("job {} fails on several machines; next try in {:.0f} s", job.spec->id,
                seconds(pause));
      for (const auto& id : job.failed_on) {
        if (Machine* other = machines_.find(id)) other->failed_jobs.erase(job.spec->id);
      }
    }
    return;
  }
  m.failed_jobs.insert(job.spec->id);
  // All tasks of an array that fail together count once: a job with a mistake may put dozens on a
  // machine before it is known for what it is.
  if (now >= m.paused_until) ++m.failures;
  m.paused_until = now + kFailedPause;
  if (!m.faulty && (m.failed_jobs.size() >= kFaultyJobs || m.failures >= kFaultyFailures)) {
    m.faulty = true;
    log::info("machine {} fails its tasks ({} in a row, {} jobs); no more work for it", m.id,
              m.failures, m.failed_jobs.size());
  }
}

void Term::on_gone(Machine& m, const TaskAttempt& o, bool lost) {
  Job* job = jobs_.find(o.task.job);
  if (job == nullptr) return;
  const auto it = job->assignments.find(o.task.index);
  if (it == job->assignments.end() || it->second.machine != m.id ||
      it->second.attempt != o.attempt) {
    return;
  }
  if (o.running_since != TimePoint{} && job->spec->checkpoint.count() > 0) {
    // What its checkpoints kept, to judge how much is left.
    const double ran = seconds(runtime_.now() - o.running_since);
    const double every = job->spec->checkpoint.count();
    auto& saved = job->saved_s[o.task.index];
    saved += o.saved ? ran : static_cast<double>(static_cast<std::int64_t>(ran / every)) * every;
  }
  if (lost) log::debug("{}/{} lost on {}", o.task.job, o.task.index, m.id);
  if (o.running_since != TimePoint{}) job->last_zone = m.zone;
  JobTable::unassign(*job, o.task.index, {m.id, o.attempt});
}

void Term::stop_attempt(Machine& m, TaskAttempt& o, Seconds grace) {
  if (o.stop && o.grace <= grace) return;
  m.changed = true;
  o.stop = true;
  o.grace = grace;
  if (o.phase == TaskAttempt::Phase::Terminated) o.acknowledge = true;
}

void Term::expire_leases() {
  const auto now = runtime_.now();
  const auto out =
      to_duration(Seconds(seconds(settings_.lease) * (1 + kClockDrift))) + kLeaseMargin;
  for (auto& [id, m] : machines_.all()) {
    if (m.lease_expired || now - m.last_answered <= out) continue;
    m.lease_expired = true;
    registry_stale_ = true;
    pending_reconciliation_.erase(id);
    m.first_answered.reset();
    // Heartbeats made under an earlier token count as well: their answers renewed no later.
    m.first_valid_epoch = std::max(m.epoch, m.latest_heartbeat.first) + 1;
    if (m.reconciled && !m.reclaim_at) losses_.record_loss({m.zone, m.spot}, now);
    log::info("machine {}: its lease has run out", id);
    Events events;
    machines_.clear(m, events);
    handle(m, events);
  }
}

// Plans for machines that have become unreachable, or were given up, go to others.
void Term::release_plans() {
  const auto now = runtime_.now();
  for (auto& [id, m] : machines_.all()) {
    if (!m.attempts.empty() && !usable(m, now)) discard_stale_assignments(m);
  }
}

}  // namespace asterstair::leader
