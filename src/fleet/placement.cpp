// Waiting work against machines: the snapshot the planner decides on, and what becomes of its plan.

#include <algorithm>

#include "base/log.hpp"
#include "fleet/fleet.hpp"

namespace asterstair::fleet {

sched::Snapshot Fleet::snapshot(std::vector<std::string>& machine_ids,
                                std::vector<std::string>& job_ids) {
  sched::Snapshot s;
  const auto now = runtime_.now();
  for (const auto& [name, t] : settings_.teams) {
    s.teams[name] = {{}, t.cpus, t.gpus, t.cpus_max, t.gpus_max};
  }
  const auto sizes = group_sizes();
  std::map<std::string, std::map<std::string, std::uint32_t>> in_zone;  // of jobs that care
  for (const auto& [id, m] : machines_.all()) {
    sched::PlanMachine p;
    const auto* type = catalog_.find(m.type);
    if (type != nullptr) p.free = {type->cpus, type->gpus, type->memory_gb};
    bool unknown_task = false;
    for (const auto& [key, o] : m.occupants) {
      if (!o.holds_room()) continue;
      if (!o.job) {
        unknown_task = true;
        continue;
      }
      p.free.add(*o.job, -1);
      s.teams[o.job->team].used.add(*o.job);
      if (o.job->one_zone || o.job->spread) ++in_zone[o.job->id][m.zone];
    }
    if (type == nullptr || unknown_task || !usable(m)) continue;
    p.ref = machine_ids.size();
    p.type = type;
    p.zone = m.zone;
    p.spot = m.spot;
    p.images = &m.images;
    p.loss_rate = losses_.rate({m.zone, m.spot}, sizes.at({m.zone, m.spot}), now);
    machine_ids.push_back(id);
    s.machines.push_back(std::move(p));
  }
  std::vector<const Job*> by_arrival;
  for (const auto& [id, job] : jobs_.all()) by_arrival.push_back(&job);
  std::sort(by_arrival.begin(), by_arrival.end(), [](const Job* a, const Job* b) {
    return std::tie(a->accepted, a->spec->id) < std::tie(b->accepted, b->spec->id);
  });
  sched::Guarantees guarantees(s.teams);
  for (const Job* arrived : by_arrival) {
    const Job& job = *arrived;
    const std::string& id = job.spec->id;
    const bool guaranteed = guarantees.next(*job.spec, job.unfinished());
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
    p.ref = job_ids.size();
    p.job = job.spec.get();
    p.waiting = static_cast<std::uint32_t>(job.waiting.size());
    if (const auto it = in_zone.find(id); it != in_zone.end()) p.in_zone = it->second;
    p.last_zone = job.last_zone;
    p.remaining = remaining_of(job);
    p.waited = age_of(job);
    p.guaranteed = guaranteed;
    p.slack = slack_of(job, p.remaining);
    p.work = p.remaining * static_cast<double>(job.unfinished());
    job_ids.push_back(id);
    s.jobs.push_back(std::move(p));
  }
  return s;
}

void Fleet::plan() {
  if (!loaded_ || !election_.entitled() || !view_fresh() || !catalog_.known()) return;
  plan_wanted_ = false;
  last_plan_ = runtime_.now();
  std::vector<std::string> machine_ids, job_ids;
  auto s = snapshot(machine_ids, job_ids);
  // Machines a job failed on are left out for it while others may do.
  std::vector<std::set<std::size_t>> avoid(s.jobs.size());
  for (std::size_t i = 0; i < s.jobs.size(); ++i) {
    const Job* job = jobs_.find(job_ids[i]);
    if (job->failed_on.empty() || job->failed_on.size() >= kBadJobMachines) continue;
    for (std::size_t m = 0; m < machine_ids.size(); ++m) {
      if (job->failed_on.count(machine_ids[m]) != 0) avoid[i].insert(m);
    }
    s.jobs[i].avoid = &avoid[i];
  }
  const auto plan = sched::plan(s, runtime_.rng());
  std::map<std::string, std::uint64_t> gang_attempts;
  for (const auto& p : plan.placements) {
    Job& job = *jobs_.find(job_ids[p.job]);
    Machine& m = *machines_.find(machine_ids[p.machine]);
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
      o.planned_at = last_plan_;
      m.occupants.emplace(std::pair(o.task, attempt), std::move(o));
    }
  }
  demand_.clear();
  for (const auto& [i, left] : plan.unplaced) {
    const auto& j = s.jobs[i];
    const auto& team = s.teams[j.job->team];
    double n = left;
    if (team.max_cpus > 0 && j.job->cpus > 0) {
      n = std::min(n, (team.max_cpus - team.used.cpus) / j.job->cpus);
    }
    if (team.max_gpus > 0 && j.job->gpus > 0) {
      n = std::min(n, (team.max_gpus - team.used.gpus) / j.job->gpus);
    }
    if (n < 1) continue;
    demand_.push_back(
        {jobs_.find(job_ids[i])->spec, static_cast<std::uint32_t>(n), j.remaining, j.slack});
  }
  if (!plan.unplaced.empty()) preempt(s, plan, machine_ids);
}

void Fleet::preempt(sched::Snapshot& s, const sched::Plan& plan,
                    const std::vector<std::string>& machine_ids) {
  std::vector<sched::PlanVictim> victims;
  std::vector<std::pair<std::string, std::pair<TaskId, std::uint64_t>>> refs;
  const auto now = runtime_.now();
  for (std::size_t i = 0; i < s.machines.size(); ++i) {
    auto& machine = s.machines[i];
    Machine& m = *machines_.find(machine_ids[machine.ref]);
    for (auto& [key, o] : m.occupants) {
      if (!o.holds_room() || !o.job) continue;
      if (o.stop) {
        machine.free.add(*o.job);  // on its way out
        continue;
      }
      if (o.phase == Occupant::Phase::Ordered || (o.job->gang() && o.job->tasks > 1)) continue;
      double lost = 0;
      if (o.running_since != TimePoint{}) {
        lost = seconds(now - o.running_since);
        if (o.job->checkpoint.count() > 0) lost = o.job->save.count();
      }
      victims.push_back({i, refs.size(), o.job.get(), lost});
      refs.emplace_back(m.id, key);
    }
  }
  for (const auto ref : sched::preempt(s, plan, victims)) {
    const auto& [mid, key] = refs[ref];
    Occupant& o = machines_.find(mid)->occupants.at(key);
    log::debug("{}/{} on {} makes room", o.task.job, o.task.index, mid);
    stop_occupant(
        o, o.job->checkpoint.count() > 0 ? o.job->save + Seconds(settings_.gang_peer) : Seconds(0));
  }
}

}  // namespace asterstair::fleet
