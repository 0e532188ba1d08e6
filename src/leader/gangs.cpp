// Whole-gang stops and preemption notices, and the direct path that tells a gang in time.

#include "base/log.hpp"
#include "leader/term.hpp"
#include "sched/score.hpp"
#include "wire/worker.hpp"

namespace asterstair::leader {
namespace {

constexpr double kEndsInTime = 0.7;  // of a notice: estimates are rough
constexpr Seconds kNoNotice{3600};
constexpr Seconds kRestartTime{1};  // of a task that finds its image
constexpr auto kDirectTimeout = 2s;
// Direct commands at a time: a job may be on hundreds of machines, some of them out of hearing, and
// the connections are the state service's too, so that they take one socket in so many.
constexpr std::size_t kLeastDirectsInFlight = 24, kSocketsPerDirect = 32;
// Direct commands that wait: so many for each machine.
constexpr std::size_t kDirectsPerMachine = 4;

}  // namespace

void Term::check_gangs() {
  // A gang that lost a task stops whole (DESIGN). The others must be told within gang_peer_s.
  DirectStops direct;
  for (auto& [id, job] : jobs_.all()) {
    if (!job.spec->gang() || job.assignments.empty() || job.waiting.empty()) continue;
    stop_gang(job, Seconds(0), direct);
  }
  send_direct(direct);
}

void Term::send_direct(const DirectStops& stops, bool read_answers) {
  if (stops.empty() || !election_.lease_valid()) return;
  std::map<std::string, std::vector<Command>> by_machine;
  for (const auto& [machine, c] : stops) by_machine[machine].push_back(c);
  for (auto& [id, commands] : by_machine) {
    // The next answers to heartbeats say the same.
    if (directs_.size() >= kDirectsPerMachine * machines_.all().size()) break;
    directs_.push_back(
        {id, std::move(commands), runtime_.now() + settings_.heartbeat_interval, read_answers});
  }
  pump_direct();
}

void Term::pump_direct() {
  const auto most_in_flight =
      std::max(kLeastDirectsInFlight, settings_.max_connections / kSocketsPerDirect);
  while (!directs_.empty() && directs_in_flight_ < most_in_flight && election_.lease_valid()) {
    const Direct d = std::move(directs_.front());
    directs_.pop_front();
    const Machine* m = machines_.find(d.machine);
    if (m == nullptr || m->address.empty() || d.give_up < runtime_.now()) continue;
    ++directs_in_flight_;
    runtime_.http(
        m->address,
        {"POST", std::string(wire::kDirectPath), wire::encode_direct(token_, m->epoch, d.commands)},
        kDirectTimeout,
        [self = weak_from_this(), read_answer = d.read_answer](const HttpResponse& response) {
          const auto f = self.lock();
          if (!f || !f->alive()) return;
          --f->directs_in_flight_;
          if (read_answer && response.status == 200) {
            try {
              f->direct_answer(wire::decode_heartbeat(response.body));
            } catch (const wire::DecodeError& e) {
              log::error("malformed answer to a direct command: {}", e.what());
            }
          }
          f->pump_direct();
        });
  }
}

// How long a task may take to save if it is to be stopped on the notice: none if it may go on.
std::optional<Seconds> Term::grace_before_reclaim(const Machine& m, const TaskAttempt& o) const {
  const auto now = runtime_.now();
  const Seconds left = m.reclaim_at ? Seconds(*m.reclaim_at - now) : kNoNotice;
  const auto& job = *o.job;
  if (job.checkpoint.count() > 0 && sched::final_checkpoint_fits(job.save, kRestartTime, left)) {
    return job.save + Seconds(settings_.gang_peer);
  }
  // What cannot be saved and will not end in time is lost anyway; elsewhere at once is better than
  // after the machine's lease has run out.
  const Seconds ran = o.running_since == TimePoint{} ? Seconds(0) : Seconds(now - o.running_since);
  if (!m.reclaim_at || job.estimate - ran <= left * kEndsInTime) return std::nullopt;
  return Seconds(0);
}

// The whole gang is told at once, wherever its tasks are.
void Term::stop_gang(const Job& job, Seconds grace, DirectStops& direct) {
  for (const auto& [index, assignment] : job.assignments) {
    Machine* m = machines_.find(assignment.machine);
    TaskAttempt* o =
        m == nullptr ? nullptr : m->find_attempt({job.spec->id, index}, assignment.attempt);
    if (o == nullptr || o->stop) continue;
    stop_attempt(*m, *o, grace);
    if (job.spec->tasks > 1 && o->phase != TaskAttempt::Phase::Pending) {
      direct.emplace_back(m->id, Command{Command::Op::Stop, o->task, assignment.attempt, grace});
    }
  }
}

void Term::on_preemption_notice(Machine& m) {
  // A drained machine's tasks may end by themselves.
  if (!m.reclaim_at && !m.faulty) return;
  DirectStops direct;
  for (auto& [key, o] : m.attempts) {
    if (o.phase != TaskAttempt::Phase::Observed || o.stop || !o.job) continue;
    const auto grace = grace_before_reclaim(m, o);
    if (!grace) continue;
    if (!o.job->gang()) {
      stop_attempt(m, o, *grace);
    } else if (const Job* job = jobs_.find(o.task.job)) {
      stop_gang(*job, *grace, direct);
    }
  }
  send_direct(direct);
}

}  // namespace asterstair::leader
