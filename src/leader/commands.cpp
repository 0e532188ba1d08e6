// What the answer to a heartbeat orders: stops, clears, and starts of what is planned there.

#include "leader/term.hpp"
#include "sched/score.hpp"

namespace asterstair::leader {
namespace {

// Of an answer, which must not be longer than PROTOCOL allows.
constexpr std::size_t kMostCommands = 300;

}  // namespace

// Any answer may renew the worker's lease, whatever else the heartbeat is good for, so none leaves
// a task running whose job has ended: through one leader after the other it could outlast cancel_s.
// What an earlier leader started was live when this term's view was asked for, unless it had ended.
std::vector<Command> Term::stops_for_ended(const Heartbeat& r) const {
  std::vector<Command> out;
  for (const auto& t : r.tasks) {
    if (t.state != TaskState::Exited && jobs_.find(t.task.job) == nullptr) {
      out.push_back({Command::Op::Stop, t.task, t.attempt});
    }
  }
  return out;
}

// Gang members' losses add up; see DESIGN.
std::optional<Seconds> Term::checkpoint_interval(const Job& job, const Machine& m) const {
  if (job.spec->checkpoint.count() <= 0) return std::nullopt;
  double rate = 0;
  if (job.spec->gang()) {
    for (const auto& [index, assignment] : job.assignments) {
      if (const Machine* other = machines_.find(assignment.machine)) rate += loss_rate(*other);
    }
  } else {
    rate = loss_rate(m);
  }
  return sched::checkpoint_interval(job.spec->save, rate, sched::kLossBudget);
}

// Whether an exited task may be cleared: a done one only once that is durable.
bool Term::may_acknowledge(const TaskAttempt& o) const {
  if (o.acknowledge) return true;
  const Job* job = jobs_.find(o.task.job);
  return job == nullptr || (o.cause == ExitCause::Done && job->durable[o.task.index]);
}

// Nobody may run whose job is not live; looked up here so that no path can miss it.
std::optional<Command> Term::stop_for(Machine& m, TaskAttempt& o) {
  if (!o.stop && jobs_.find(o.task.job) == nullptr) stop_attempt(m, o, Seconds(0));
  const bool is_saving = o.state == TaskState::Saving && o.grace.count() > 0;
  if (!o.stop || is_saving) return std::nullopt;
  return Command{Command::Op::Stop, o.task, o.attempt, o.grace};
}

// Plans that have come to nothing: their job has ended, or the machine may not be used any more.
void Term::discard_stale_assignments(Machine& m) {
  const bool machine_usable = usable(m);
  Events gone;
  for (auto it = m.attempts.begin(); it != m.attempts.end();) {
    const TaskAttempt& o = it->second;
    const bool is_void = o.stop || !machine_usable || jobs_.find(o.task.job) == nullptr;
    if (o.phase != TaskAttempt::Phase::Pending || !is_void) {
      ++it;
      continue;
    }
    gone.push_back({TaskEvent::Kind::NotStarted, o});
    it = m.attempts.erase(it);
    m.changed = true;
  }
  handle(m, gone);
}

// Marks as ordered only what fits into the answer.
void Term::order_starts(Machine& m, std::uint64_t sequence, std::vector<Command>& out) {
  if (!m.registered || launches_suspended_ || !usable(m)) return;
  for (auto& [key, o] : m.attempts) {
    if (out.size() >= kMostCommands) return;
    const Job* job = jobs_.find(o.task.job);
    if (o.phase != TaskAttempt::Phase::Pending || job == nullptr || !job->begun) continue;
    Command start{Command::Op::Start, o.task, o.attempt};
    start.interval = checkpoint_interval(*job, m);
    o.phase = TaskAttempt::Phase::Dispatched;
    o.dispatched_sequence = sequence;
    out.push_back(std::move(start));
  }
}

std::vector<Command> Term::commands_for(Machine& m, std::uint64_t sequence) {
  std::vector<Command> out, acknowledgements;
  bool any_planned = false;
  for (auto& [key, o] : m.attempts) {
    any_planned = any_planned || o.phase == TaskAttempt::Phase::Pending;
    if (o.phase == TaskAttempt::Phase::Observed) {
      if (auto stop = stop_for(m, o)) out.push_back(std::move(*stop));
    } else if (o.phase == TaskAttempt::Phase::Terminated && may_acknowledge(o)) {
      o.acknowledge = true;
      acknowledgements.push_back({Command::Op::Acknowledge, o.task, o.attempt});
    }
  }
  out.insert(out.end(), acknowledgements.begin(), acknowledgements.end());
  if (out.size() > kMostCommands) out.resize(kMostCommands);
  if (any_planned) {
    discard_stale_assignments(m);
    order_starts(m, sequence, out);
  }
  return out;
}

}  // namespace asterstair::leader
