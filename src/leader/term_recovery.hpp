#pragma once
/// @file
/// Start of a term: recovery from the state service, watch on the live jobs, and reconciliation
/// with the workers.

#include <cstdint>
#include <set>
#include <string>

#include "cluster/cluster_state.hpp"
#include "leader/fenced_writer.hpp"
#include "leader/live_jobs.hpp"
#include "leader/machine_registry.hpp"
#include "leader/returned_machines.hpp"
#include "leader/scheduling_trigger.hpp"
#include "leader/term_context.hpp"

namespace asterstair::leader {

/// Reads the records of earlier leaders, then watches the live jobs. A term is
/// - *recovered* once it has read the live jobs, progress records, machine registry and open
///   returns. From then on heartbeats may be answered while the view of the live jobs is fresh;
/// - *reconciled* once each registered machine has sent a heartbeat under this term's token, is
///   known to have lost its lease, or is known to be terminated. Until then, tasks of jobs that an
///   earlier leader started may be running on any machine. If the registry may be incomplete, this
///   takes at least until all leases that earlier leaders may have renewed have expired.
/// Owned by Term.
class TermRecovery {
 public:
  /// All references outlive this object.
  TermRecovery(const TermContext& context, cluster::ClusterState& cluster, LiveJobs& live_jobs,
               MachineRegistry& registry, const ReturnedMachines& returned, FencedWriter& writer,
               SchedulingTrigger& trigger);

  /// Starts the recovery. Failed reads are retried until the term ends.
  void start() { load_live_jobs(); }
  /// Called when all returns that earlier leaders made durable are known. Until then no task is
  /// started and no heartbeat is answered.
  void on_open_returns_known();

  /// Whether the records of earlier leaders have been read.
  bool recovered() const { return recovered_; }
  /// Whether reconciliation with the registered machines is complete.
  bool reconciled() const { return reconciled_; }
  /// Whether the view of the live jobs is recent enough to answer heartbeats. Each response may
  /// renew a lease, so a cancellation that the view does not show yet takes effect within
  /// max_view_staleness() plus one lease; see "Why cancelled tasks end in time" in docs/design.md.
  bool view_is_fresh() const;

  /// Called when a machine that the registry does not list sends its first heartbeat.
  /// Reconciliation waits for the machine if it may have tasks of an earlier leader.
  void on_unlisted_machine(const std::string& machine);
  /// Whether the leases of unlisted machines have timed out, and only the confirmation is missing
  /// that this node had no successor until then. See LeaseMonitor.
  bool awaits_confirmation() const;
  /// Removes the machine from those that reconciliation waits for: it is reconciled, its lease is
  /// known to have expired, or it is terminated.
  void stop_awaiting(const std::string& machine) { unreconciled_.erase(machine); }
  /// Completes reconciliation once it waits for no machine.
  void check_reconciled();

 private:
  void load_live_jobs();
  void on_live_jobs(const store::ListResult& result, TimePoint requested_at);
  void load_progress();
  void on_progress(const store::ListResult& result);
  void load_job_progress(const wire::Item& item);
  void remove_orphaned_progress(const std::string& key, const std::string& job);
  void rebuild_waiting_tasks();
  void load_registry();
  void on_registry(const store::ListResult& result);
  bool may_miss_machines() const;
  void adopt_registered(const std::string& name);
  void reload_later();
  void finish_recovery();
  void watch(std::uint64_t after, Duration wait);
  void on_watch(const store::WatchResult& result, std::uint64_t after, TimePoint requested_at);

  const TermContext& context_;
  cluster::ClusterState& cluster_;
  LiveJobs& live_jobs_;
  MachineRegistry& registry_;
  const ReturnedMachines& returned_;
  FencedWriter& writer_;
  SchedulingTrigger& trigger_;
  const Duration max_view_staleness_;
  const Duration watch_wait_;
  TimePoint view_requested_at_{};  // when the newest received view was requested
  std::uint64_t live_revision_ = 0;
  bool registry_loaded_ = false;
  bool open_returns_known_ = false;
  bool recovered_ = false;
  bool reconciled_ = false;
  // Machines that may have tasks of an earlier leader and are not reconciled.
  std::set<std::string> unreconciled_;
};

}  // namespace asterstair::leader
