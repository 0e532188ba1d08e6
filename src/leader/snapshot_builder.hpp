#pragma once
/// @file
/// The scheduler's input: schedulable machines, waiting jobs, and the teams' resource usage.

#include <string>
#include <unordered_map>
#include <vector>

#include "cluster/cluster_state.hpp"
#include "leader/job_timing.hpp"
#include "leader/live_jobs.hpp"
#include "leader/term_context.hpp"
#include "leader/term_recovery.hpp"
#include "leader/worker_health.hpp"
#include "sched/snapshot.hpp"

namespace asterstair::leader {

/// A snapshot, and the machines and jobs that its `ref` fields are indexes into. The pointers are
/// valid until the machine table or the job table changes.
struct SchedulingInput {
  /// The scheduler's view of the cluster.
  sched::Snapshot snapshot;
  /// The machines of the snapshot.
  std::vector<cluster::Machine*> machines;
  /// The jobs of the snapshot.
  std::vector<cluster::Job*> jobs;
};

/// Builds snapshots of the cluster for src/sched, and decides which jobs may be placed. Owned by
/// Term.
class SnapshotBuilder {
 public:
  /// All references outlive the builder.
  SnapshotBuilder(const TermContext& context, cluster::ClusterState& cluster,
                  const JobTiming& timing, const WorkerHealth& health, const TermRecovery& recovery,
                  const LiveJobs& live_jobs)
      : context_(context),
        cluster_(cluster),
        timing_(timing),
        health_(health),
        recovery_(recovery),
        live_jobs_(live_jobs) {}

  /// Builds a snapshot of the current tables.
  SchedulingInput build();
  /// Whether any job may be placed now.
  bool any_placeable() const;
  /// Updates Job::idle_since of all jobs.
  void update_idle_times();

 private:
  using TasksByJobAndZone = std::unordered_map<std::string, sched::TasksByZone>;

  void add_machines(SchedulingInput& input, TasksByJobAndZone& in_zone,
                    sched::Resources& unattributed_usage);
  void add_machine(SchedulingInput& input, cluster::Machine& machine, const MachineType& type,
                   double loss_rate) const;
  void add_teams(sched::Snapshot& snapshot, const sched::Resources& unattributed_usage) const;
  void reserve_accelerators(sched::Snapshot& snapshot) const;
  void add_jobs(SchedulingInput& input, const TasksByJobAndZone& in_zone);
  std::vector<cluster::Job*> jobs_by_arrival();
  bool placeable(const cluster::Job& job) const;
  sched::PlanJob plan_job(const cluster::Job& job, bool guaranteed) const;
  void update_idle_time(cluster::Job& job) const;

  const TermContext& context_;
  cluster::ClusterState& cluster_;
  const JobTiming& timing_;
  const WorkerHealth& health_;
  const TermRecovery& recovery_;
  const LiveJobs& live_jobs_;
};

}  // namespace asterstair::leader
