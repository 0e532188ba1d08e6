// When plans are made, and what becomes of them: starts, demand for machines, and preemption.

#include <algorithm>

#include "base/log.hpp"
#include "leader/term.hpp"
#include "sched/constraints.hpp"
#include "sched/planner.hpp"
#include "sched/preemption.hpp"

namespace asterstair::leader {
namespace {

// Plans follow one another no faster than this, and take up no more than a share of the processor
// that the settings grant. What a step costs was measured with tests/load/profile.sh.
constexpr Duration kPlanEvery = 60ms;
constexpr Duration kStepCost = 40ns;
constexpr double kPlanShare = 0.25;
constexpr auto kPreemptEvery = 300ms;

}  // namespace

// At once, or as soon as plans may follow one another.
void Term::plan_soon() {
  const auto now = runtime_.now();
  if (now >= next_plan_) {
    plan();
  } else if (!plan_due_) {
    plan_due_ = true;
    runtime_.after(next_plan_ - now, [self = weak_from_this()] {
      const auto f = self.lock();
      if (!f || !f->alive()) return;
      f->plan_due_ = false;
      if (f->plan_wanted_) f->plan();
    });
  }
}

// Machines a job failed on are left out for it while others may do: by job, refs of machines.
std::vector<std::set<std::size_t>> Term::machines_to_avoid() const {
  std::vector<std::set<std::size_t>> out(planned_jobs_.size());
  for (std::size_t i = 0; i < planned_jobs_.size(); ++i) {
    const auto& failed_on = planned_jobs_[i]->failed_on;
    if (failed_on.empty() || failed_on.size() >= kBadJobMachines) continue;
    for (std::size_t m = 0; m < planned_machines_.size(); ++m) {
      if (failed_on.count(planned_machines_[m]->id) != 0) out[i].insert(m);
    }
  }
  return out;
}

// Numbers from the token and a counter are never used twice, by any leader.
std::uint64_t Term::next_attempt() {
  constexpr unsigned kCounterBits = 24;
  return (token_ << kCounterBits) | ++attempts_;
}

// Tasks of a gang share one attempt.
void Term::bind(const sched::Placement& p, std::map<std::string, std::uint64_t>& gangs) {
  Job& job = *planned_jobs_[p.job];
  Machine& m = *planned_machines_[p.machine];
  m.changed = true;
  if (job.room_after == Seconds(0)) job.room_after = age_of(job);
  for (std::uint32_t n = 0; n < p.tasks; ++n) {
    std::uint64_t attempt = 0;
    if (job.spec->gang()) {
      auto& of_gang = gangs[job.spec->id];
      if (of_gang == 0) of_gang = next_attempt();
      attempt = of_gang;
    } else {
      attempt = next_attempt();
    }
    const auto index = JobTable::take_waiting(job);
    job.assignments[index] = {m.id, attempt};
    TaskAttempt o;
    o.task = {job.spec->id, index};
    o.attempt = attempt;
    o.job = job.spec;
    o.assigned_at = runtime_.now();
    m.attempts.emplace(AttemptId{attempt, o.task}, std::move(o));
  }
}

// What found no room, within the teams' limits.
void Term::update_demand(const sched::Snapshot& s, const sched::Plan& plan) {
  const auto& aims = settings_.objectives;
  const bool urgent = std::any_of(aims.begin(), aims.end(),
                                  [](const Objective& o) { return o.kind == "guarantee"; });
  demand_.clear();
  for (const auto& unplaced : plan.unplaced) {
    const auto& j = s.jobs[unplaced.first];
    const Job& job = *planned_jobs_[unplaced.first];
    const auto tasks =
        std::min(job.waiting.size(), sched::tasks_within_quota(s.teams.at(j.job->team), *j.job));
    if (tasks < 1) continue;
    demand_.push_back({job.spec, tasks, j.remaining, j.slack, urgent && j.guaranteed});
  }
}

void Term::plan() {
  if (!recovered_ || !election_.lease_valid() || !view_is_fresh() || !catalog_.known()) return;
  plan_wanted_ = false;
  const auto now = runtime_.now();
  // Most ticks of a fleet that has enough room find nothing to place: no look at the machines then.
  if (!any_may_be_placed()) {
    for (auto& [id, job] : jobs_.all()) note_idle(job);
    demand_.clear();
    next_plan_ = now + kPlanEvery;
    return;
  }
  auto s = snapshot();
  const auto avoid = machines_to_avoid();
  for (std::size_t i = 0; i < s.jobs.size(); ++i) {
    if (!avoid[i].empty()) s.jobs[i].avoid = &avoid[i];
  }
  auto plan = sched::plan(s, runtime_.rng());
  std::map<std::string, std::uint64_t> gang_attempts;
  for (const auto& p : plan.placements) bind(p, gang_attempts);
  update_demand(s, plan);
  if (!plan.unplaced.empty() && now >= next_preempt_) {
    next_preempt_ = now + kPreemptEvery;
    preempt(s, plan);
  }
  const auto cost = kStepCost * static_cast<std::int64_t>(plan.steps);
  next_plan_ =
      now + std::max(kPlanEvery, to_duration(Seconds(cost) / settings_.cpu_share / kPlanShare));
}

// What a task would lose if it were stopped now.
Seconds Term::work_lost_by_stop(const TaskAttempt& o) const {
  if (o.running_since == TimePoint{}) return Seconds(0);
  if (o.job->checkpoint.count() > 0) return o.job->save;
  return Seconds(runtime_.now() - o.running_since);
}

// One whose start is under way is told to stop by the answer to the heartbeat that shows it: on a
// machine with many short tasks there is always one such.
std::vector<sched::PreemptionCandidate> Term::preemption_candidates(
    const sched::Snapshot& s, const sched::Plan& plan, std::vector<CandidateRef>& refs) const {
  // Worth a look only if some of the work may stop some of the rest.
  auto highest = Priority::Low;
  bool guaranteed = false;
  for (const auto& [i, left] : plan.unplaced) {
    highest = std::max(highest, s.jobs[i].job->priority);
    guaranteed = guaranteed || s.jobs[i].guaranteed;
  }
  std::vector<sched::PreemptionCandidate> out;
  for (std::size_t i = 0; i < s.machines.size(); ++i) {
    Machine& m = *planned_machines_[s.machines[i].ref];
    for (auto& [key, o] : m.attempts) {
      if (!o.holds_resources() || !o.job || o.stop) continue;
      if (!guaranteed && o.job->priority >= highest) continue;
      if (o.job->gang() && o.job->tasks > 1) continue;
      out.push_back({i, refs.size(), o.job.get(), work_lost_by_stop(o).count()});
      refs.emplace_back(&m, &o);
    }
  }
  return out;
}

void Term::preempt(sched::Snapshot& s, sched::Plan& plan) {
  std::vector<CandidateRef> refs;
  const auto candidates = preemption_candidates(s, plan, refs);
  plan.steps += candidates.size();
  DirectStops direct;
  for (const auto ref : sched::preempt(s, plan, candidates, runtime_.rng())) {
    const auto& [m, o] = refs[ref];
    log::debug("{}/{} on {} makes room", o->task.job, o->task.index, m->id);
    const bool saves = o->job->checkpoint.count() > 0;
    const Seconds grace = saves ? o->job->save + Seconds(settings_.gang_peer) : Seconds(0);
    stop_attempt(*m, *o, grace);
    // Told at once: whoever makes room is waited for.
    if (o->phase == TaskAttempt::Phase::Observed) {
      direct.emplace_back(m->id, Command{Command::Op::Stop, o->task, o->attempt, grace});
    }
  }
  send_direct(direct, true);
}

}  // namespace asterstair::leader
