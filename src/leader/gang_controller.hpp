#pragma once
/// @file
/// Gangs: checkpoint intervals, preemption notices, and stops of whole gangs.

#include <optional>
#include <vector>

#include "cluster/cluster_state.hpp"
#include "leader/direct_command_dispatcher.hpp"
#include "leader/term_context.hpp"

namespace asterstair::leader {

/// Keeps gangs whole: one that loses a task is stopped and restarts as a whole (DESIGN). Owned by
/// Term.
class GangController {
 public:
  /// All references outlive the controller.
  GangController(const TermContext& context, cluster::ClusterState& cluster,
                 DirectCommandDispatcher& direct_commands)
      : context_(context), cluster_(cluster), direct_commands_(direct_commands) {}

  /// Stops what is left of gangs that have lost a task. The others must be told within
  /// `gang_peer_s` of the first.
  void stop_broken_gangs();
  /// Stops the tasks of a machine that the cloud is about to take, or that is faulty, where that
  /// saves their progress or lets them restart sooner. Gangs are stopped as a whole.
  void on_preemption_notice(cluster::Machine& machine);
  /// The interval that the leader derives for the task from its machines' loss rates; gang members'
  /// rates add up (DESIGN; paper V-B). None if the job has no checkpoints.
  std::optional<Seconds> checkpoint_interval(const cluster::Job& job,
                                             const cluster::Machine& machine) const;
  /// The grace with which a task is stopped so that it can save, if it has checkpoints.
  Seconds grace_to_save(const JobSpec& job) const;

 private:
  std::optional<Seconds> grace_before_reclaim(const cluster::Machine& machine,
                                              const cluster::TaskAttempt& attempt) const;
  void stop_gang(const cluster::Job& job, Seconds grace, std::vector<DirectCommand>& commands);

  const TermContext& context_;
  cluster::ClusterState& cluster_;
  DirectCommandDispatcher& direct_commands_;
};

}  // namespace asterstair::leader
