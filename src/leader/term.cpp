#include "leader/term.hpp"

#include "base/log.hpp"

namespace asterstair::leader {
namespace {

constexpr auto kTickInterval = 250ms;
constexpr auto kSummaryInterval = 10s;

}  // namespace

Term::Term(Runtime& runtime, store::Store& store, Election& election, const Settings& settings,
           const cloud::Catalog& catalog)
    : context_{runtime,       store,
               election,      settings,
               catalog,       election.token(),
               runtime.now(), election.previous_leaders_expiry()},
      timing_(context_),
      writer_(context_),
      health_(context_, cluster_),
      direct_commands_(
          context_, cluster_.machines,
          [this](const Heartbeat& heartbeat) { heartbeats_.on_direct_response(heartbeat); }),
      live_jobs_(context_, cluster_, timing_, direct_commands_, writer_, scheduling_trigger_),
      progress_(context_, cluster_.jobs, writer_,
                [this](const std::string& job) { live_jobs_.end(job); }),
      registry_(context_, cluster_.machines, writer_),
      recovery_(context_, cluster_, live_jobs_, registry_, returned_machines_, writer_,
                scheduling_trigger_),
      attempts_(context_, cluster_, timing_, health_, progress_, scheduling_trigger_),
      gangs_(context_, cluster_, direct_commands_),
      heartbeat_commands_(cluster_, health_, attempts_, gangs_),
      snapshots_(context_, cluster_, timing_, health_, recovery_, live_jobs_),
      scheduling_(context_, timing_, snapshots_, recovery_, gangs_, direct_commands_,
                  scheduling_trigger_),
      heartbeats_(context_, cluster_, returned_machines_, recovery_, registry_, health_, attempts_,
                  gangs_, heartbeat_commands_, scheduling_),
      lease_monitor_(context_, election, cluster_, attempts_, registry_, recovery_,
                     [this] { run_cycle(); }),
      removal_(cluster_, attempts_, registry_, returned_machines_, recovery_),
      consolidator_(context_, snapshots_, scheduling_, recovery_, gangs_) {}

void Term::start() {
  context_.owner = weak_from_this();
  recovery_.start();
  tick();
}

void Term::tick() {
  context_.runtime.after(kTickInterval, context_.while_alive([this] { tick(); }));
  run_cycle();
}

// One cycle of the reconciliation loop. Runs periodically, and early once the expiry of a worker's
// lease is confirmed.
void Term::run_cycle() {
  if (!recovery_.recovered()) return;
  lease_monitor_.expire_leases();
  live_jobs_.expire_arrivals();
  recovery_.check_reconciled();
  gangs_.stop_broken_gangs();
  for (auto& [id, machine] : cluster_.machines.all()) gangs_.on_preemption_notice(machine);
  attempts_.release_unschedulable_machines();
  if (!context_.election.lease_valid()) return;
  registry_.write();
  progress_.record_starts();
  progress_.flush();
  scheduling_.run_if_due();
  log_summary_if_due();
}

// Logs the capacity, the resources in use and the waiting tasks.
void Term::log_summary_if_due() {
  const auto now = context_.now();
  if (now - last_summary_ < kSummaryInterval) return;
  last_summary_ = now;
  sched::Resources capacity;
  sched::Resources used;
  std::size_t up = 0;
  std::size_t waiting_tasks = 0;
  for (const auto& [id, machine] : cluster_.machines.all()) {
    const auto* type = context_.catalog.find(machine.type);
    if (type == nullptr || !machine.reconciled || machine.lease_expired) continue;
    ++up;
    capacity.add(sched::Resources{type->cpus, type->gpus, type->memory_gb});
    used.add(machine.usage.used);
  }
  for (const auto& demand : scheduling_.demand()) waiting_tasks += demand.tasks;
  log::info(
      "{} machines; cpus {:.0f} of {:.0f}, accelerators {:.0f} of {:.0f}; {} tasks of {} jobs wait "
      "for room",
      up, used.cpus, capacity.cpus, used.gpus, capacity.gpus, waiting_tasks,
      scheduling_.demand().size());
}

std::vector<JobCounts> Term::counts() const {
  std::vector<JobCounts> counts;
  for (const auto& [id, job] : cluster_.jobs.all()) {
    if (job.done_count > 0 || job.running > 0) {
      counts.push_back({id, job.done_count, job.running});
    }
  }
  return counts;
}

}  // namespace asterstair::leader
