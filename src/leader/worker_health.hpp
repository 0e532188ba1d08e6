#pragma once
/// @file
/// Which machines may be given work: quarantine of faulty and of unresponsive ones.

#include <vector>

#include "cluster/cluster_state.hpp"
#include "leader/term_context.hpp"

namespace asterstair::leader {

/// Judges machines by what happens to their tasks and commands. Two faults are told apart: tasks
/// that fail (the machine is faulty, or the job), and responses that do not reach the worker while
/// its heartbeats arrive (a one-way partition). Keeps its findings in Machine::health and in the
/// failure fields of Job. Owned by Term.
class WorkerHealth {
 public:
  /// All references outlive this object.
  WorkerHealth(const TermContext& context, cluster::ClusterState& cluster)
      : context_(context), cluster_(cluster) {}

  /// Whether the machine may be given new work.
  bool schedulable(const cluster::Machine& machine) const {
    return schedulable(machine, context_.now());
  }
  /// The same at a time that the caller has read from the clock.
  bool schedulable(const cluster::Machine& machine, TimePoint now) const;

  /// Whether the worker sends heartbeats and has never seen this leader's token for so long that
  /// responses must be lost on their way. Such heartbeats are refused: then its lease surely
  /// expires, here too, and the term is reconciled without it. A later epoch in its heartbeats
  /// would prove nothing: a late copy may have been the first to arrive, and the later epoch may
  /// hold tasks that an earlier leader started.
  bool never_saw_token(const cluster::Machine& machine) const;

  /// The machine's worker has begun a new epoch while its heartbeats arrived.
  void on_epoch_lost(cluster::Machine& machine);
  /// Learns from a heartbeat whether start commands reach the worker.
  void on_heartbeat(cluster::Machine& machine, const std::vector<cluster::TaskEvent>& events);
  /// A task has completed on the machine.
  void on_task_done(cluster::Machine& machine);
  /// A task of the job has failed on the machine.
  void on_task_failed(cluster::Machine& machine, cluster::Job& job);
  /// The worker had not enough free resources for a task.
  void on_start_refused(cluster::Machine& machine);

  /// How long a job waits after its first failed start, and after the failures that quarantine it.
  static constexpr Duration kInitialBackoff = 4s;
  /// Failures on so many machines: the job is at fault, not they.
  static constexpr std::size_t kMaxMachinesAtFault = 3;

 private:
  void mark_unresponsive(cluster::Machine& machine);
  void back_off(cluster::Job& job, bool new_machine);

  const TermContext& context_;
  cluster::ClusterState& cluster_;
};

}  // namespace asterstair::leader
