#pragma once
/// @file
/// Emptying costly machines whose tasks fit on others.

#include <functional>

#include "cluster/cluster_state.hpp"
#include "leader/gang_controller.hpp"
#include "leader/scheduling_loop.hpp"
#include "leader/snapshot_builder.hpp"
#include "leader/term_context.hpp"
#include "leader/term_recovery.hpp"

namespace asterstair::leader {

/// Evicts the tasks of costly machines when no work waits, so that the autoscaler can return the
/// machines. Tasks are evicted only if they can save, and have much more left than a move costs.
/// Owned by Term.
class Consolidator {
 public:
  /// All references outlive the consolidator.
  Consolidator(const TermContext& context, SnapshotBuilder& snapshots,
               const SchedulingLoop& scheduling, const TermRecovery& recovery,
               const GangController& gangs)
      : context_(context),
        snapshots_(snapshots),
        scheduling_(scheduling),
        recovery_(recovery),
        gangs_(gangs) {}

  /// Drains machines, those with the costliest idle resources first, and stops the tasks on them.
  /// \param may_spare whether the autoscaler can do without the machine
  void consolidate(const std::function<bool(const cluster::Machine&)>& may_spare);

 private:
  bool worth_moving(const cluster::Machine& machine) const;
  bool worth_moving(const cluster::Machine& machine, const cluster::TaskAttempt& attempt) const;
  Seconds cost_of_move(const cluster::Machine& machine, const JobSpec& job) const;
  void evict_tasks(cluster::Machine& machine) const;

  const TermContext& context_;
  SnapshotBuilder& snapshots_;
  const SchedulingLoop& scheduling_;
  const TermRecovery& recovery_;
  const GangController& gangs_;
};

}  // namespace asterstair::leader
