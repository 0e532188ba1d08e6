// Waiting work against machines: the snapshot the planner decides on, and what becomes of its plan.

#include <algorithm>

#include "base/log.hpp"
#include "fleet/fleet.hpp"
#include "sched/order.hpp"
#include "sched/planner.hpp"
#include "sched/preemption.hpp"

namespace asterstair::fleet {
namespace {

// Plans follow one another no faster than this, and take up no more than a share of the processor
// that the settings grant. What a step costs was measured with tests/load/profile.sh.
constexpr Duration kPlanEvery = 60ms;
constexpr Duration kStepCost = 40ns;
constexpr double kPlanShare = 0.25;
constexpr Seconds kKeepFor{20};
constexpr std::uint32_t kFirstTasks = 16;  // of an array that nothing is anywhere of for long
constexpr auto kPreemptEvery = 300ms;
constexpr sched::Resources kUnbounded{1e9, 1e9, 0};  // of a machine whose type is not known

}  // namespace

// Takes over what has changed on the machine since the last look.
void Fleet::refresh(Machine& m) {
  if (!m.changed) return;
  m.changed = false;
  for (const auto& [team, use] : m.holding.teams) team_use_[team].add(use, -1);
  m.holding = m.count_holding();
  for (const auto& [team, use] : m.holding.teams) team_use_[team].add(use);
}

sched::Snapshot Fleet::snapshot() {
  sched::Snapshot s;
  const auto now = runtime_.now();
  planned_machines_.clear();
  planned_jobs_.clear();
  std::unordered_map<std::string, std::map<std::string, std::uint32_t>> in_zone;
  sched::Resources unknown;
  s.machines.reserve(machines_.all().size());
  for (auto& [id, m] : machines_.all()) {
    refresh(m);
    for (const auto& [job, n] : m.holding.zoned) in_zone[job->id][m.zone] += n;
    const auto* type = catalog_.find(m.type);
    if (m.holding.unknown) {
      unknown.add(type == nullptr ? kUnbounded : sched::Resources{type->cpus, type->gpus, 0});
      unknown.add(m.holding.used, -1);
      continue;
    }
    if (type == nullptr || !usable(m)) continue;
    sched::PlanMachine p;
    p.free = {type->cpus, type->gpus, type->memory_gb};
    p.free.add(m.holding.used, -1);
    p.freeing = m.holding.freeing;
    p.ref = planned_machines_.size();
    p.type = type;
    p.zone = m.zone;
    p.spot = m.spot;
    p.images = &m.images;
    planned_machines_.push_back(&m);
    s.machines.push_back(std::move(p));
  }
  std::map<std::pair<std::string, bool>, double> rates;
  for (std::size_t i = 0; i < s.machines.size(); ++i) {
    auto& p = s.machines[i];
    const auto [it, added] = rates.try_emplace({p.zone, p.spot}, 0.0);
    if (added) it->second = loss_rate(*planned_machines_[i]);
    p.loss_rate = it->second;
  }
  for (const auto& [name, t] : settings_.teams) {
    auto used = team_use_[name];
    // Tasks of jobs that ended before this term: whose they are is no longer known, and until they
    // are gone they may be any team's, up to all the room they can take.
    if (t.cpus_max > 0 || t.gpus_max > 0) used.add(unknown);
    s.teams[name] = {used, t.cpus, t.gpus, t.cpus_max, t.gpus_max};
  }
  // Work with accelerators as it has come lately; what comes within kKeepFor finds room.
  double gpus = 0, cpus = 0;
  for (const auto& a : arrivals_) {
    if (a.job->gpus <= 0) continue;
    gpus += a.job->gpus * a.job->tasks;
    cpus += a.job->cpus * a.job->tasks;
  }
  if (gpus > 0) {
    s.cpus_per_gpu = cpus / gpus;
    s.keep_gpus = gpus * (kKeepFor / Seconds(kArrivalWindow));
  }
  std::vector<Job*> by_arrival;
  by_arrival.reserve(jobs_.all().size());
  for (auto& [id, job] : jobs_.all()) by_arrival.push_back(&job);
  std::sort(by_arrival.begin(), by_arrival.end(), [](const Job* a, const Job* b) {
    return std::tie(a->accepted, a->spec->id) < std::tie(b->accepted, b->spec->id);
  });
  sched::Guarantees guarantees(s.teams);
  for (Job* arrived : by_arrival) {
    const Job& job = *arrived;
    const bool guaranteed = guarantees.next(*job.spec, job.unfinished());
    if (!job.placed.empty()) {
      arrived->idle_since.reset();
    } else if (!job.idle_since) {
      // Of one that never began, from when it was accepted, whoever led then.
      const auto waited = job.first_started ? Duration::zero() : to_duration(age_of(job));
      arrived->idle_since = now - waited;
    }
    if (job.waiting.empty() || now < job.not_before || job.ending) continue;
    // Until all machines have been heard from, tasks that nobody reported may run anywhere.
    if (!settled_ && job.begun_before) continue;
    if (!settled_) {
      const auto t = settings_.teams.find(job.spec->team);
      if (t == settings_.teams.end() || t->second.cpus_max > 0 || t->second.gpus_max > 0) continue;
    }
    // All of a gang or nothing, and nothing while an old attempt is anywhere.
    if (job.spec->gang() && job.waiting.size() != job.spec->tasks) continue;
    sched::PlanJob p;
    p.ref = planned_jobs_.size();
    p.job = job.spec.get();
    p.waiting = static_cast<std::uint32_t>(job.waiting.size());
    if (const auto it = in_zone.find(job.spec->id); it != in_zone.end()) p.in_zone = it->second;
    p.last_zone = job.last_zone;
    p.remaining = remaining_of(job);
    p.waited = age_of(job);
    p.guaranteed = guaranteed;
    p.starving = !job.first_started && p.waited > sched::kStarvingAfter;
    p.overdue = job.idle_since && now - *job.idle_since > sched::kOverdueAfter;
    // It is to begin, not to push everything else aside: an array's first tasks will do.
    if ((p.starving || p.overdue) && !job.spec->gang())
      p.waiting = std::min(p.waiting, kFirstTasks);
    p.slack = slack_of(job, p.remaining);
    p.work = p.remaining * static_cast<double>(job.unfinished());
    planned_jobs_.push_back(arrived);
    s.jobs.push_back(std::move(p));
  }
  return s;
}

// At once, or as soon as plans may follow one another.
void Fleet::plan_soon() {
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

void Fleet::plan() {
  if (!loaded_ || !election_.entitled() || !current() || !catalog_.known()) return;
  plan_wanted_ = false;
  const auto now = runtime_.now();
  auto s = snapshot();
  // Machines a job failed on are left out for it while others may do.
  std::vector<std::set<std::size_t>> avoid(s.jobs.size());
  for (std::size_t i = 0; i < s.jobs.size(); ++i) {
    const Job* job = planned_jobs_[i];
    if (job->failed_on.empty() || job->failed_on.size() >= kBadJobMachines) continue;
    for (std::size_t m = 0; m < planned_machines_.size(); ++m) {
      if (job->failed_on.count(planned_machines_[m]->id) != 0) avoid[i].insert(m);
    }
    s.jobs[i].avoid = &avoid[i];
  }
  auto plan = sched::plan(s, runtime_.rng());
  std::map<std::string, std::uint64_t> gang_attempts;
  for (const auto& p : plan.placements) {
    Job& job = *planned_jobs_[p.job];
    Machine& m = *planned_machines_[p.machine];
    m.changed = true;
    if (job.room_after == Seconds(0)) job.room_after = age_of(job);
    for (std::uint32_t n = 0; n < p.tasks; ++n) {
      // Numbers from the token and a counter are never used twice, by any leader.
      constexpr unsigned kCounterBits = 24;
      std::uint64_t attempt = 0;
      if (job.spec->gang()) {
        auto& a = gang_attempts[job.spec->id];
        if (a == 0) a = (token_ << kCounterBits) | ++attempts_;
        attempt = a;
      } else {
        attempt = (token_ << kCounterBits) | ++attempts_;
      }
      const auto index = Jobs::take_waiting(job);
      job.placed[index] = {m.id, attempt};
      Occupant o;
      o.task = {job.spec->id, index};
      o.attempt = attempt;
      o.job = job.spec;
      o.planned_at = now;
      m.occupants.emplace(OccupantKey{attempt, o.task}, std::move(o));
    }
  }
  const auto& aims = settings_.objectives;
  const bool soon = std::any_of(aims.begin(), aims.end(),
                                [](const Objective& o) { return o.kind == "guarantee"; });
  demand_.clear();
  for (const auto& unplaced : plan.unplaced) {
    const auto i = unplaced.first;
    const auto& j = s.jobs[i];
    const auto& team = s.teams[j.job->team];
    auto n = static_cast<double>(planned_jobs_[i]->waiting.size());
    if (team.max_cpus > 0 && j.job->cpus > 0) {
      n = std::min(n, (team.max_cpus - team.used.cpus) / j.job->cpus);
    }
    if (team.max_gpus > 0 && j.job->gpus > 0) {
      n = std::min(n, (team.max_gpus - team.used.gpus) / j.job->gpus);
    }
    if (n < 1) continue;
    demand_.push_back({planned_jobs_[i]->spec, static_cast<std::uint32_t>(n), j.remaining, j.slack,
                       soon && j.guaranteed});
  }
  if (!plan.unplaced.empty() && now >= next_preempt_) {
    next_preempt_ = now + kPreemptEvery;
    preempt(s, plan);
  }
  const auto cost = kStepCost * static_cast<std::int64_t>(plan.steps);
  next_plan_ =
      now + std::max(kPlanEvery, to_duration(Seconds(cost) / settings_.cpu_share / kPlanShare));
}

void Fleet::preempt(sched::Snapshot& s, sched::Plan& plan) {
  // Worth a look only if some of the work may stop some of the rest.
  auto highest = Priority::Low;
  bool guaranteed = false;
  for (const auto& [i, left] : plan.unplaced) {
    highest = std::max(highest, s.jobs[i].job->priority);
    guaranteed = guaranteed || s.jobs[i].guaranteed;
  }
  std::vector<sched::PlanVictim> victims;
  std::vector<std::pair<Machine*, Occupant*>> refs;
  const auto now = runtime_.now();
  for (std::size_t i = 0; i < s.machines.size(); ++i) {
    Machine& m = *planned_machines_[s.machines[i].ref];
    for (auto& [key, o] : m.occupants) {
      if (!o.holds_room() || !o.job || o.stop) continue;
      if (!guaranteed && o.job->priority >= highest) continue;
      // One whose start is under way is told to stop by the answer to the report that shows it: on
      // a machine with many short tasks there is always one such.
      if (o.job->gang() && o.job->tasks > 1) continue;
      double lost = 0;
      if (o.running_since != TimePoint{}) {
        lost = seconds(now - o.running_since);
        if (o.job->checkpoint.count() > 0) lost = o.job->save.count();
      }
      victims.push_back({i, refs.size(), o.job.get(), lost});
      refs.emplace_back(&m, &o);
    }
  }
  plan.steps += victims.size();
  std::vector<std::pair<std::string, Command>> direct;
  for (const auto ref : sched::preempt(s, plan, victims, runtime_.rng())) {
    const auto& [m, o] = refs[ref];
    log::debug("{}/{} on {} makes room", o->task.job, o->task.index, m->id);
    const bool saves = o->job->checkpoint.count() > 0;
    const Seconds grace = saves ? o->job->save + Seconds(settings_.gang_peer) : Seconds(0);
    stop_occupant(*m, *o, grace);
    // Told at once: whoever makes room is waited for.
    if (o->phase == Occupant::Phase::Present) {
      direct.emplace_back(m->id, Command{Command::Op::Stop, o->task, o->attempt, grace});
    }
  }
  send_direct(direct, true);
}

}  // namespace asterstair::fleet
