#pragma once
/// @file
/// Gang handling: stops of whole gangs, preemption notices, and checkpoint intervals.

#include <optional>
#include <vector>

#include "cluster/cluster_state.hpp"
#include "leader/direct_command_dispatcher.hpp"
#include "leader/term_context.hpp"

namespace asterstair::leader {

/// Stops gangs as a whole: one that loses a task is stopped and restarts with all its tasks
/// (DESIGN). Owned by Term.
class GangController {
 public:
  /// All references outlive the controller.
  GangController(const TermContext& context, cluster::ClusterState& cluster,
                 DirectCommandDispatcher& direct_commands)
      : context_(context), cluster_(cluster), direct_commands_(direct_commands) {}

  /// Stops the remaining tasks of gangs that have lost a task. They must learn of the loss within
  /// `gang_peer_s`.
  void stop_broken_gangs();
  /// Stops tasks of a machine that the cloud is about to reclaim, or that is faulty, if that saves
  /// their progress or lets them restart sooner. Gangs are stopped as a whole. Does nothing for
  /// other machines.
  void on_preemption_notice(cluster::Machine& machine);
  /// The checkpoint interval for a task of the job on the machine, derived from the machine's loss
  /// rate. For a gang, the loss rates of all its tasks' machines are added (DESIGN; paper V-B).
  /// None if the job has no checkpoints.
  std::optional<Seconds> checkpoint_interval(const cluster::Job& job,
                                             const cluster::Machine& machine) const;
  /// The grace period in which a stopped task can save a checkpoint; 0 if the job has none.
  Seconds checkpoint_grace(const JobSpec& job) const;

 private:
  std::optional<Seconds> grace_before_reclaim(const cluster::Machine& machine,
                                              const cluster::TaskAttempt& attempt) const;
  void stop_gang(const cluster::Job& job, Seconds grace, std::vector<DirectStop>& stops);

  const TermContext& context_;
  cluster::ClusterState& cluster_;
  DirectCommandDispatcher& direct_commands_;
};

}  // namespace asterstair::leader
