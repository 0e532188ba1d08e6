#include "leader/snapshot_builder.hpp"

#include <algorithm>
#include <map>
#include <tuple>
#include <utility>

#include "sched/order.hpp"

namespace asterstair::leader {
namespace {

using cluster::Job;
using cluster::Machine;

// Room is reserved for the accelerator work that is expected to arrive within this time.
constexpr Seconds kReservationHorizon{20};
// Maximum number of tasks that a run places of a starving or overdue array.
constexpr std::uint32_t kMaxInitialTasks = 16;
// Assumed for a machine of unknown type.
constexpr sched::Resources kUnboundedResources{1e9, 1e9, 0};

}  // namespace

SchedulingInput SnapshotBuilder::build() {
  SchedulingInput input;
  TasksByJobAndZone in_zone;
  sched::Resources unattributed_usage;
  add_machines(input, in_zone, unattributed_usage);
  add_teams(input.snapshot, unattributed_usage);
  reserve_accelerators(input.snapshot);
  add_jobs(input, in_zone);
  return input;
}

// A machine that runs tasks of jobs unknown to this leader gets no work. The resources that these
// tasks may use are added to `unattributed_usage`.
void SnapshotBuilder::add_machines(SchedulingInput& input, TasksByJobAndZone& in_zone,
                                   sched::Resources& unattributed_usage) {
  input.snapshot.machines.reserve(cluster_.machines.all().size());
  std::map<std::pair<std::string_view, bool>, double> loss_rates;  // by zone and kind
  const auto now = context_.now();
  for (auto& [id, machine] : cluster_.machines.all()) {
    cluster_.team_usage.refresh(machine);
    for (const auto& [job, tasks] : machine.usage.zone_constrained)
      in_zone[job->id][machine.zone] += tasks;
    const auto* type = context_.catalog.find(machine.type);
    if (machine.usage.has_unknown_jobs) {
      unattributed_usage.add(type == nullptr ? kUnboundedResources
                                             : sched::Resources{type->cpus, type->gpus, 0});
      unattributed_usage.add(machine.usage.used, -1);
      continue;
    }
    if (type == nullptr || !health_.schedulable(machine, now)) continue;
    const auto [rate, added] = loss_rates.try_emplace({machine.zone, machine.spot}, 0.0);
    if (added) rate->second = cluster_.losses.rate_of(machine, now);
    add_machine(input, machine, *type, rate->second);
  }
}

void SnapshotBuilder::add_machine(SchedulingInput& input, Machine& machine, const MachineType& type,
                                  double loss_rate) const {
  sched::PlanMachine planned;
  planned.free = {type.cpus, type.gpus, type.memory_gb};
  planned.free.add(machine.usage.used, -1);
  planned.freeing = machine.usage.freeing;
  planned.ref = input.machines.size();
  planned.type = &type;
  planned.zone = machine.zone;
  planned.spot = machine.spot;
  planned.loss_rate = loss_rate;
  planned.images = &machine.image_cache.images();
  input.machines.push_back(&machine);
  input.snapshot.machines.push_back(std::move(planned));
}

// The teams of jobs that ended before this term are unknown. Until their tasks have ended, the
// resources that these tasks may use count against the limit of every team.
void SnapshotBuilder::add_teams(sched::Snapshot& snapshot,
                                const sched::Resources& unattributed_usage) const {
  for (const auto& [name, team] : context_.settings.teams) {
    auto used = cluster_.team_usage.of(name);
    if (team.cpus_max > 0 || team.gpus_max > 0) used.add(unattributed_usage);
    snapshot.teams[name] = {used, team.cpus, team.gpus, team.cpus_max, team.gpus_max};
  }
}

// Forecasts accelerator work at the rate of the arrivals within kArrivalWindow.
void SnapshotBuilder::reserve_accelerators(sched::Snapshot& snapshot) const {
  double gpus = 0;
  double cpus = 0;
  for (const auto& arrival : live_jobs_.arrivals()) {
    if (arrival.job->gpus <= 0) continue;
    gpus += arrival.job->gpus * arrival.job->tasks;
    cpus += arrival.job->cpus * arrival.job->tasks;
  }
  if (gpus <= 0) return;
  snapshot.cpus_per_gpu = cpus / gpus;
  snapshot.reserved_gpus = gpus * (kReservationHorizon / Seconds(kArrivalWindow));
}

void SnapshotBuilder::add_jobs(SchedulingInput& input, const TasksByJobAndZone& in_zone) {
  sched::GuaranteedQuota quota(input.snapshot.teams);
  for (Job* job : jobs_by_arrival()) {
    const bool guaranteed = quota.covers_next(*job->spec, job->unfinished());
    update_idle_time(*job);
    if (!placeable(*job)) continue;
    auto planned = plan_job(*job, guaranteed);
    planned.ref = input.jobs.size();
    const auto zones = in_zone.find(job->spec->id);
    if (zones != in_zone.end()) planned.in_zone = zones->second;
    input.jobs.push_back(job);
    input.snapshot.jobs.push_back(std::move(planned));
  }
}

std::vector<Job*> SnapshotBuilder::jobs_by_arrival() {
  std::vector<Job*> jobs;
  jobs.reserve(cluster_.jobs.all().size());
  for (auto& [id, job] : cluster_.jobs.all()) jobs.push_back(&job);
  std::sort(jobs.begin(), jobs.end(), [](const Job* left, const Job* right) {
    return std::tie(left->accepted, left->spec->id) < std::tie(right->accepted, right->spec->id);
  });
  return jobs;
}

void SnapshotBuilder::update_idle_time(Job& job) const {
  if (!job.assignments.empty()) {
    job.idle_since.reset();
  } else if (!job.idle_since) {
    // A job that never started has been idle since it was accepted, also under earlier leaders.
    const auto waited = job.first_task_started ? Duration::zero() : to_duration(timing_.age(job));
    job.idle_since = context_.now() - waited;
  }
}

void SnapshotBuilder::update_idle_times() {
  for (auto& [id, job] : cluster_.jobs.all()) update_idle_time(job);
}

bool SnapshotBuilder::placeable(const Job& job) const {
  if (job.waiting.empty() || context_.now() < job.not_before) return false;
  if (job.completion_write_in_flight) return false;
  // A gang is placed as a whole, and only when none of its earlier attempts may still exist.
  if (job.spec->gang() && job.waiting.size() != job.spec->tasks) return false;
  if (recovery_.reconciled()) return true;
  // Until the term is reconciled, tasks that no worker has reported may be running on any machine,
  // and may belong to any team.
  if (job.started_by_previous_leader) return false;
  const auto team = context_.settings.teams.find(job.spec->team);
  return team != context_.settings.teams.end() && team->second.cpus_max <= 0 &&
         team->second.gpus_max <= 0;
}

bool SnapshotBuilder::any_placeable() const {
  const auto& jobs = cluster_.jobs.all();
  return std::any_of(jobs.begin(), jobs.end(),
                     [this](const auto& entry) { return placeable(entry.second); });
}

sched::PlanJob SnapshotBuilder::plan_job(const Job& job, bool guaranteed) const {
  sched::PlanJob planned;
  planned.job = job.spec.get();
  planned.waiting = job.waiting.size();
  planned.last_zone = job.last_zone;
  planned.remaining = timing_.remaining(job);
  planned.work = planned.remaining * static_cast<double>(job.unfinished());
  planned.waited = timing_.age(job);
  planned.guaranteed = guaranteed;
  planned.starving = !job.first_task_started && planned.waited > sched::kStarvingAfter;
  planned.overdue = job.idle_since && context_.now() - *job.idle_since > sched::kOverdueAfter;
  planned.slack = timing_.slack(job, planned.remaining);
  // Such an array has to start without displacing all other work, so only some tasks are placed.
  if ((planned.starving || planned.overdue) && !job.spec->gang()) {
    planned.waiting = std::min(planned.waiting, kMaxInitialTasks);
  }
  return planned;
}

}  // namespace asterstair::leader
