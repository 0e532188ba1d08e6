#pragma once
/// @file
/// Decides which machines may be given work; excludes faulty and unresponsive machines.

#include <vector>

#include "cluster/cluster_state.hpp"
#include "leader/term_context.hpp"

namespace asterstair::leader {

/// Assesses machines by the results of their tasks and commands. Distinguishes two kinds of faults:
/// failing tasks (the machine or the job is faulty), and responses that do not reach the worker
/// while its heartbeats arrive (a one-way partition). Stores its results in Machine::health and in
/// the failure fields of Job. Owned by Term.
class WorkerHealth {
 public:
  /// All references outlive this object.
  WorkerHealth(const TermContext& context, cluster::ClusterState& cluster)
      : context_(context), cluster_(cluster) {}

  /// Whether the machine may be given new work.
  bool schedulable(const cluster::Machine& machine) const {
    return schedulable(machine, context_.now());
  }
  /// As above, at the time `now` that the caller has read from the clock.
  bool schedulable(const cluster::Machine& machine, TimePoint now) const;

  /// Whether the worker has sent heartbeats without this leader's token for so long that responses
  /// to it must be lost. Such heartbeats are refused. The worker's lease then expires, and this
  /// leader can count it as expired and reconcile the term without the machine. A later epoch in
  /// its heartbeats would not prove that earlier tasks are dead: the first heartbeat that arrived
  /// may have been a late copy, and the later epoch may hold tasks that an earlier leader started.
  bool never_saw_token(const cluster::Machine& machine) const;

  /// Records that the worker has begun a new epoch since the last applied heartbeat.
  void on_epoch_lost(cluster::Machine& machine);
  /// Checks, from the changes that an applied heartbeat shows, whether start commands reach the
  /// worker.
  void on_heartbeat(cluster::Machine& machine, const std::vector<cluster::TaskEvent>& events);
  /// Records that a task has completed on the machine.
  void on_task_done(cluster::Machine& machine);
  /// Records that a task of the job has failed on the machine.
  void on_task_failed(cluster::Machine& machine, cluster::Job& job);
  /// Records that the worker refused a start because it lacked free resources.
  void on_start_refused(cluster::Machine& machine);

  /// Pause of a job after a start that its worker could not carry out yet, and first pause of a job
  /// that fails on several machines.
  static constexpr Duration kInitialBackoff = 4s;
  /// Number of machines on which a job must fail to count as faulty itself.
  static constexpr std::size_t kMinMachinesForFaultyJob = 3;

 private:
  void mark_unresponsive(cluster::Machine& machine);
  void back_off(cluster::Job& job, bool new_machine);

  const TermContext& context_;
  cluster::ClusterState& cluster_;
};

}  // namespace asterstair::leader
