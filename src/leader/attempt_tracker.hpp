#pragma once
/// @file
/// Applies events of task attempts to the job table.

#include <vector>

#include "cluster/cluster_state.hpp"
#include "leader/job_progress_log.hpp"
#include "leader/job_timing.hpp"
#include "leader/scheduling_trigger.hpp"
#include "leader/term_context.hpp"
#include "leader/worker_health.hpp"

namespace asterstair::leader {

/// Updates jobs by task events: assignments, progress, retries. Owned by Term.
class AttemptTracker {
 public:
  /// All references outlive the tracker.
  AttemptTracker(const TermContext& context, cluster::ClusterState& cluster,
                 const JobTiming& timing, WorkerHealth& health, JobProgressLog& progress,
                 SchedulingTrigger& trigger)
      : context_(context),
        cluster_(cluster),
        timing_(timing),
        health_(health),
        progress_(progress),
        trigger_(trigger) {}

  /// Applies the events of one machine in their order.
  void apply(cluster::Machine& machine, const std::vector<cluster::TaskEvent>& events);
  /// Removes pending attempts that will not be started: their job has ended, they are to be
  /// stopped, or the machine is no longer schedulable.
  void discard_stale_assignments(cluster::Machine& machine);
  /// Calls discard_stale_assignments() for all machines that are not schedulable.
  void release_unschedulable_machines();

 private:
  void apply_event(cluster::Machine& machine, const cluster::TaskEvent& event);
  void on_started(const cluster::Machine& machine, const cluster::TaskAttempt& attempt);
  void on_running(const cluster::Machine& machine, const cluster::TaskAttempt& attempt);
  void on_adopted(cluster::Machine& machine, const cluster::TaskAttempt& attempt);
  void on_exited(cluster::Machine& machine, const cluster::TaskAttempt& attempt);
  void on_done(cluster::Machine& machine, const cluster::TaskAttempt& attempt, cluster::Job& job);
  bool rejoin_gang(cluster::Machine& machine, const cluster::TaskAttempt& attempt,
                   const cluster::Job& job);
  void on_not_started(cluster::Machine& machine, const cluster::TaskAttempt& attempt);
  bool may_start_again(const cluster::Machine& machine, const cluster::TaskAttempt& attempt,
                       const cluster::Job& job) const;
  void on_failed(cluster::Machine& machine, const cluster::TaskAttempt& attempt, cluster::Job& job);
  void on_lost(const cluster::Machine& machine, const cluster::TaskAttempt& attempt);
  static bool is_assigned(const cluster::Job& job, const cluster::Machine& machine,
                          const cluster::TaskAttempt& attempt);
  // Returns false if the task was not assigned to this attempt.
  bool unassign(const cluster::Machine& machine, const cluster::TaskAttempt& attempt);
  void log_first_run(cluster::Job& job);
  bool all_running(const cluster::Job& job);

  const TermContext& context_;
  cluster::ClusterState& cluster_;
  const JobTiming& timing_;
  WorkerHealth& health_;
  JobProgressLog& progress_;
  SchedulingTrigger& trigger_;
};

}  // namespace asterstair::leader
