#pragma once
/// @file
/// Consolidation: drains costly machines whose tasks fit on others.

#include <functional>

#include "cluster/cluster_state.hpp"
#include "leader/gang_controller.hpp"
#include "leader/scheduling_loop.hpp"
#include "leader/snapshot_builder.hpp"
#include "leader/term_context.hpp"
#include "leader/term_recovery.hpp"

namespace asterstair::leader {

/// Drains costly machines and evicts their tasks while no work waits, so that the autoscaler can
/// return the machines. A task is evicted only if it can save a checkpoint and its remaining run
/// time is much longer than a move takes. Owned by Term.
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

  /// Drains machines, those with the costliest idle resources first, and stops the tasks on them
  /// that can save a checkpoint.
  /// \param may_remove whether the autoscaler does not need the machine
  void consolidate(const std::function<bool(const cluster::Machine&)>& may_remove);

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
