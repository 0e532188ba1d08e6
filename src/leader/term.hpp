#pragma once
/// @file
/// One term of leadership: the modules that direct the cluster, and how they are wired.

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

/// Reconciles the wanted state (live jobs done) with what the workers report, from one election to
/// the loss of the lease. Its successor starts from the store and the workers' heartbeats. Holds no
/// logic of its own: it owns the state and the modules, and runs the periodic loop. Owned by Node,
/// shared with the autoscaler; held by a shared_ptr, since callbacks outlive it.
class Term : public std::enable_shared_from_this<Term> {
 public:
  /// \param election holds the lease of this term's token
  Term(Runtime& runtime, store::Store& store, const Election& election, const Settings& settings,
       const cloud::Catalog& catalog);
  Term(const Term&) = delete;
  Term& operator=(const Term&) = delete;

  /// Begins recovery and the periodic loop. Called once, on an object that a shared_ptr owns.
  void start();
  /// Ends the term: nothing is ordered, answered or written any more.
  void stop() { context_.stopped = true; }

  // For Node.

  /// To be called only while view_is_fresh(): each response may renew a worker's lease.
  HeartbeatResponse on_heartbeat(const Heartbeat& heartbeat) {
    return heartbeats_.on_heartbeat(heartbeat);
  }
  /// See TermRecovery::view_is_fresh.
  bool view_is_fresh() const { return recovery_.view_is_fresh(); }
  /// See LiveJobs::cancel.
  void cancelled(const std::string& job) { live_jobs_.cancel(job); }
  /// See HeartbeatCommands::suspend_launches.
  void suspend_launches(bool suspended) { heartbeat_commands_.suspend_launches(suspended); }
  /// See HeartbeatHandler::heartbeats_lost.
  bool heartbeats_lost() const { return heartbeats_.heartbeats_lost(); }
  /// See HeartbeatHandler::last_heartbeat_at.
  TimePoint last_heartbeat_at() const { return heartbeats_.last_heartbeat_at(); }
  /// See HeartbeatHandler::any_heartbeat.
  bool any_heartbeat() const { return heartbeats_.any_heartbeat(); }
  /// The jobs of which any task is done or running.
  std::vector<JobCounts> counts() const;

  // For the autoscaler.

  /// See TermRecovery.
  bool recovered() const { return recovery_.recovered(); }
  /// See TermRecovery.
  bool reconciled() const { return recovery_.reconciled(); }
  /// See TermRecovery::on_open_returns_known.
  void open_returns_known() { recovery_.on_open_returns_known(); }
  /// See WorkerHealth::schedulable.
  bool usable(const cluster::Machine& machine) const { return health_.schedulable(machine); }
  /// See SchedulingLoop::demand.
  const std::vector<Demand>& demand() const { return scheduling_.demand(); }
  /// See LiveJobs::arrivals.
  const std::deque<Arrival>& arrivals() const { return live_jobs_.arrivals(); }
  /// All machines that are known.
  const cluster::MachineTable& machines() const { return cluster_.machines; }
  /// The windowed loss rates of this term.
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
  void machine_gone(const std::string& machine) { removal_.on_terminated(machine); }
  /// See Consolidator::consolidate.
  void consolidate(const std::function<bool(const cluster::Machine&)>& may_spare) {
    consolidator_.consolidate(may_spare);
  }

 private:
  void tick();
  void log_summary_if_due();

  // In the order of their dependencies; each refers only to members before it, but for callbacks.
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
