#pragma once
/// @file
/// How a term begins: recovery from the store, the watch on live jobs, reconciliation with workers.

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

/// Reads what earlier leaders left, then follows the live jobs. A term is
/// - *recovered* once live jobs, progress, registry and open returns have been read: heartbeats may
///   be answered from then on, while the view of the live jobs is fresh;
/// - *reconciled* once each registered machine has sent a heartbeat under this term's token, or has
///   surely lost its lease: until then, tasks of jobs that an earlier leader started may run
///   anywhere.
/// Owned by Term.
class TermRecovery {
 public:
  /// All references outlive this object.
  TermRecovery(const TermContext& context, cluster::ClusterState& cluster, LiveJobs& live_jobs,
               MachineRegistry& registry, const ReturnedMachines& returned, FencedWriter& writer,
               SchedulingTrigger& trigger);

  /// Begins to read. Failed reads are repeated until the term ends.
  void start() { load_live_jobs(); }
  /// The returns that earlier leaders made durable are all known. Nothing is started, and no
  /// heartbeat answered, before.
  void on_open_returns_known();

  /// See above.
  bool recovered() const { return recovered_; }
  /// See above.
  bool reconciled() const { return reconciled_; }
  /// Whether the view of the live jobs is recent enough for heartbeats to be answered. Each
  /// response may renew a lease, so a cancellation that the view lacks takes effect within
  /// max_view_staleness() and a lease; see "Why cancelled tasks end in time" in docs/design.md.
  bool view_is_fresh() const;

  /// The machine need not be waited for any more: it is reconciled, or its lease has surely
  /// expired, or it is gone.
  void stop_awaiting(const std::string& machine) { pending_.erase(machine); }
  /// Ends reconciliation once no machine is waited for.
  void check_reconciled();

 private:
  void load_live_jobs();
  void on_live_jobs(const store::ListResult& result, TimePoint requested_at);
  void load_progress();
  void on_progress(const store::ListResult& result);
  void load_job_progress(const wire::Item& item);
  void sweep_progress(const std::string& key, const std::string& job);
  void rebuild_waiting_tasks();
  void load_registry();
  void on_registry(const store::ListResult& result);
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
  TimePoint view_requested_at_{};  // of the newest view that has arrived
  std::uint64_t live_revision_ = 0;
  bool registry_loaded_ = false;
  bool open_returns_known_ = false;
  bool recovered_ = false;
  bool reconciled_ = false;
  // Registered machines that are not reconciled, and not known to be without tasks.
  std::set<std::string> pending_;
};

}  // namespace asterstair::leader
