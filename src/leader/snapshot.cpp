// What the planner decides on: the machines that may be given work, the jobs that wait, and what
// the teams use.

#include "sched/snapshot.hpp"

#include <algorithm>

#include "leader/term.hpp"
#include "sched/order.hpp"

namespace asterstair::leader {
namespace {

// Accelerator work that comes within this time finds room kept.
constexpr Seconds kKeepFor{20};
constexpr std::uint32_t kFirstTasks = 16;  // of an array that nothing is anywhere of for long
constexpr sched::Resources kUnbounded{1e9, 1e9, 0};  // of a machine whose type is not known

}  // namespace

// Takes over what has changed on the machine since the last look.
void Term::refresh(Machine& m) {
  if (!m.changed) return;
  m.changed = false;
  for (const auto& [team, use] : m.usage.teams) team_use_[team].add(use, -1);
  m.usage = m.compute_usage();
  for (const auto& [team, use] : m.usage.teams) team_use_[team].add(use);
}

// Machines with tasks of jobs that this node knows nothing of get nothing; the room that these can
// take is added to `unknown`.
void Term::add_machines(sched::Snapshot& s, InZone& in_zone, sched::Resources& unknown) {
  s.machines.reserve(machines_.all().size());
  std::map<std::pair<std::string_view, bool>, double> rates;
  const auto now = runtime_.now();
  for (auto& [id, m] : machines_.all()) {
    refresh(m);
    for (const auto& [job, n] : m.usage.zoned) in_zone[job->id][m.zone] += n;
    const auto* type = catalog_.find(m.type);
    if (m.usage.unknown) {
      unknown.add(type == nullptr ? kUnbounded : sched::Resources{type->cpus, type->gpus, 0});
      unknown.add(m.usage.used, -1);
      continue;
    }
    if (type == nullptr || !usable(m, now)) continue;
    const auto [rate, added] = rates.try_emplace({m.zone, m.spot}, 0.0);
    if (added) rate->second = loss_rate(m);
    sched::PlanMachine p;
    p.free = {type->cpus, type->gpus, type->memory_gb};
    p.free.add(m.usage.used, -1);
    p.freeing = m.usage.freeing;
    p.ref = planned_machines_.size();
    p.type = type;
    p.zone = m.zone;
    p.spot = m.spot;
    p.loss_rate = rate->second;
    p.images = &m.images;
    planned_machines_.push_back(&m);
    s.machines.push_back(std::move(p));
  }
}

// Tasks of jobs that ended before this term: whose they are is no longer known, and until they are
// gone they may be any team's, up to all the room they can take.
void Term::add_teams(sched::Snapshot& s, const sched::Resources& unknown) {
  for (const auto& [name, t] : settings_.teams) {
    auto used = team_use_[name];
    if (t.cpus_max > 0 || t.gpus_max > 0) used.add(unknown);
    s.teams[name] = {used, t.cpus, t.gpus, t.cpus_max, t.gpus_max};
  }
}

// Work with accelerators as it has come lately.
void Term::expect_accelerator_work(sched::Snapshot& s) const {
  double gpus = 0, cpus = 0;
  for (const auto& a : arrivals_) {
    if (a.job->gpus <= 0) continue;
    gpus += a.job->gpus * a.job->tasks;
    cpus += a.job->cpus * a.job->tasks;
  }
  if (gpus <= 0) return;
  s.cpus_per_gpu = cpus / gpus;
  s.keep_gpus = gpus * (kKeepFor / Seconds(kArrivalWindow));
}

std::vector<Job*> Term::jobs_by_arrival() {
  std::vector<Job*> out;
  out.reserve(jobs_.all().size());
  for (auto& [id, job] : jobs_.all()) out.push_back(&job);
  std::sort(out.begin(), out.end(), [](const Job* a, const Job* b) {
    return std::tie(a->accepted, a->spec->id) < std::tie(b->accepted, b->spec->id);
  });
  return out;
}

// Keeps since when nothing of the job is, or may be, anywhere.
void Term::note_idle(Job& job) const {
  if (!job.assignments.empty()) {
    job.idle_since.reset();
  } else if (!job.idle_since) {
    // Of one that never began, from when it was accepted, whoever led then.
    const auto waited = job.first_started ? Duration::zero() : to_duration(age_of(job));
    job.idle_since = runtime_.now() - waited;
  }
}

bool Term::may_be_placed(const Job& job) const {
  if (job.waiting.empty() || runtime_.now() < job.not_before || job.ending) return false;
  // All of a gang or nothing, and nothing while an old attempt is anywhere.
  if (job.spec->gang() && job.waiting.size() != job.spec->tasks) return false;
  if (reconciled_) return true;
  // Until all machines have been heard from, tasks that nobody reported may run anywhere.
  if (job.begun_before) return false;
  const auto team = settings_.teams.find(job.spec->team);
  const bool unlimited =
      team != settings_.teams.end() && team->second.cpus_max <= 0 && team->second.gpus_max <= 0;
  return unlimited;
}

bool Term::any_may_be_placed() const {
  const auto& jobs = jobs_.all();
  return std::any_of(jobs.begin(), jobs.end(),
                     [this](const auto& job) { return may_be_placed(job.second); });
}

sched::PlanJob Term::plan_job(const Job& job, bool guaranteed) const {
  sched::PlanJob p;
  p.ref = planned_jobs_.size();
  p.job = job.spec.get();
  p.waiting = job.waiting.size();
  p.last_zone = job.last_zone;
  p.remaining = remaining_of(job);
  p.work = p.remaining * static_cast<double>(job.unfinished());
  p.waited = age_of(job);
  p.guaranteed = guaranteed;
  p.starving = !job.first_started && p.waited > sched::kStarvingAfter;
  p.overdue = job.idle_since && runtime_.now() - *job.idle_since > sched::kOverdueAfter;
  p.slack = slack_of(job, p.remaining);
  // It is to begin, not to push everything else aside: an array's first tasks will do.
  if ((p.starving || p.overdue) && !job.spec->gang()) p.waiting = std::min(p.waiting, kFirstTasks);
  return p;
}

sched::Snapshot Term::snapshot() {
  sched::Snapshot s;
  planned_machines_.clear();
  planned_jobs_.clear();
  InZone in_zone;
  sched::Resources unknown;
  add_machines(s, in_zone, unknown);
  add_teams(s, unknown);
  expect_accelerator_work(s);
  sched::GuaranteedQuota quota(s.teams);
  for (Job* job : jobs_by_arrival()) {
    const bool guaranteed = quota.covers_next(*job->spec, job->unfinished());
    note_idle(*job);
    if (!may_be_placed(*job)) continue;
    auto p = plan_job(*job, guaranteed);
    if (const auto it = in_zone.find(job->spec->id); it != in_zone.end()) p.in_zone = it->second;
    planned_jobs_.push_back(job);
    s.jobs.push_back(std::move(p));
  }
  return s;
}

}  // namespace asterstair::leader
