#pragma once
/// @file
/// One term of leadership: owns the modules that manage the cluster, and connects them.

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "base/runtime.hpp"
#include "base/settings.hpp"
#include "cloud/catalog.hpp"
#include "cluster/cluster_state.hpp"
#include "leader/attempt_tracker.hpp"
#include "leader/consolidator.hpp"
#include "leader/direct_command_dispatcher.hpp"
#include "leader/election.hpp"
#include "leader/fenced_writer.hpp"
#include "leader/gang_controller.hpp"
#include "leader/heartbeat_commands.hpp"
#include "leader/heartbeat_handler.hpp"
#include "leader/job_progress_log.hpp"
#include "leader/job_timing.hpp"
#include "leader/lease_monitor.hpp"
#include "leader/live_jobs.hpp"
#include "leader/machine_registry.hpp"
#include "leader/machine_removal.hpp"
#include "leader/returned_machines.hpp"
#include "leader/scheduling_loop.hpp"
#include "leader/scheduling_trigger.hpp"
#include "leader/snapshot_builder.hpp"
#include "leader/term_context.hpp"
#include "leader/term_recovery.hpp"
#include "leader/worker_health.hpp"
#include "store/store.hpp"

namespace asterstair::leader {

/// How many tasks of a job are done and running, for display.
struct JobCounts {
  /// Id of the job.
  std::string job;
  /// Tasks that are done.
  std::uint32_t done = 0;
  /// Tasks that are running.
  std::uint32_t running = 0;
};

/// Reconciles the desired state (all live jobs completed) with the state that the workers report,
/// from one election to the loss of the lease. The next term starts from the state service and the
/// workers' heartbeats. Term owns the state and the modules and runs the periodic loop; all other
/// logic is in the modules. Owned by Node and shared with the autoscaler. Held by a shared_ptr,
/// because callbacks may outlive it.
class Term : public std::enable_shared_from_this<Term> {
 public:
  /// \param election holds the lease of this term's token
  Term(Runtime& runtime, store::Store& store, Election& election, const Settings& settings,
       const cloud::Catalog& catalog);
  Term(const Term&) = delete;
  Term& operator=(const Term&) = delete;

  /// Starts recovery and the periodic loop. Called once, on an object that a shared_ptr owns.
  void start();
  /// Ends the term: it sends no further commands, responses or writes.
  void stop() { context_.stopped = true; }

  // For Node.

  /// See HeartbeatHandler::on_heartbeat. May be called only while view_is_fresh(), because each
  /// response may renew a worker's lease.
  HeartbeatResponse on_heartbeat(const Heartbeat& heartbeat) {
    return heartbeats_.on_heartbeat(heartbeat);
  }
  /// See TermRecovery::view_is_fresh.
  bool view_is_fresh() const { return recovery_.view_is_fresh(); }
  /// See LiveJobs::cancel.
  void on_job_cancelled(const std::string& job) { live_jobs_.cancel(job); }
  /// See HeartbeatCommands::suspend_launches.
  void suspend_launches(bool suspended) { heartbeat_commands_.suspend_launches(suspended); }
  /// See HeartbeatHandler::heartbeats_lost.
  bool heartbeats_lost() const { return heartbeats_.heartbeats_lost(); }
  /// See HeartbeatHandler::last_heartbeat_at.
  TimePoint last_heartbeat_at() const { return heartbeats_.last_heartbeat_at(); }
  /// See HeartbeatHandler::any_heartbeat.
  bool any_heartbeat() const { return heartbeats_.any_heartbeat(); }
  /// Task counts of each job that has a done or running task.
  std::vector<JobCounts> counts() const;

  // For the autoscaler.

  /// See TermRecovery::recovered.
  bool recovered() const { return recovery_.recovered(); }
  /// See TermRecovery::reconciled.
  bool reconciled() const { return recovery_.reconciled(); }
  /// See TermRecovery::on_open_returns_known.
  void on_open_returns_known() { recovery_.on_open_returns_known(); }
  /// See WorkerHealth::schedulable.
  bool schedulable(const cluster::Machine& machine) const { return health_.schedulable(machine); }
  /// See SchedulingLoop::demand.
  const std::vector<Demand>& demand() const { return scheduling_.demand(); }
  /// See LiveJobs::arrivals.
  const std::deque<Arrival>& arrivals() const { return live_jobs_.arrivals(); }
  /// All machines that this leader knows.
  const cluster::MachineTable& machines() const { return cluster_.machines; }
  /// Loss rates of machines over a sliding window, as observed in this term.
  const sched::LossRates& losses() const { return cluster_.losses.rates(); }
  /// See cluster::MachineLosses::group_sizes.
  cluster::GroupSizes group_sizes() const { return cluster_.losses.group_sizes(); }
  /// See MachineRemoval::drain.
  void drain(const std::string& machine) { removal_.drain(machine); }
  /// See MachineRemoval::begin_return.
  void begin_return(const std::string& machine) { removal_.begin_return(machine); }
  /// See MachineRemoval::known_empty.
  bool known_empty(const std::string& machine) const { return removal_.known_empty(machine); }
  /// See MachineRemoval::on_terminated.
  void on_machine_terminated(const std::string& machine) { removal_.on_terminated(machine); }
  /// See Consolidator::consolidate.
  void consolidate(const std::function<bool(const cluster::Machine&)>& may_remove) {
    consolidator_.consolidate(may_remove);
  }

 private:
  void tick();
  void run_cycle();
  void log_summary_if_due();

  // Declared in the order of their dependencies: each member refers only to earlier ones, except in
  // callbacks.
  TermContext context_;
  cluster::ClusterState cluster_;
  SchedulingTrigger scheduling_trigger_;
  JobTiming timing_;
  ReturnedMachines returned_machines_;
  FencedWriter writer_;
  WorkerHealth health_;
  DirectCommandDispatcher direct_commands_;
  LiveJobs live_jobs_;
  JobProgressLog progress_;
  MachineRegistry registry_;
  TermRecovery recovery_;
  AttemptTracker attempts_;
  GangController gangs_;
  HeartbeatCommands heartbeat_commands_;
  SnapshotBuilder snapshots_;
  SchedulingLoop scheduling_;
  HeartbeatHandler heartbeats_;
  LeaseMonitor lease_monitor_;
  MachineRemoval removal_;
  Consolidator consolidator_;
  TimePoint last_summary_{};
};

}  // namespace asterstair::leader
