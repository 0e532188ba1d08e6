#pragma once
/// @file
/// Runs the scheduler and applies its plans: assignments, demand for machines, preemption.

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "cluster/cluster_state.hpp"
#include "leader/direct_command_dispatcher.hpp"
#include "leader/gang_controller.hpp"
#include "leader/scheduling_trigger.hpp"
#include "leader/snapshot_builder.hpp"
#include "leader/term_context.hpp"
#include "leader/term_recovery.hpp"
#include "sched/constraints.hpp"
#include "sched/snapshot.hpp"

namespace asterstair::leader {

/// Waiting tasks of a job that fit on none of the present machines.
struct Demand {
  /// The job's description.
  JobSpecPtr job;
  std::uint32_t tasks = 0;  ///< number of waiting tasks that the team's limit allows
  Seconds remaining{0};     ///< estimated remaining run time of a task
  double slack = 0;         ///< see JobTiming::slack
  /// Whether the team's guaranteed quota covers the job and the operator has set an objective for
  /// how soon guaranteed work starts.
  bool urgent = false;
  /// Whether no task has been on any machine for sched::kOverdueAfter.
  bool overdue = false;
  sched::TasksByZone in_zone;  ///< the job's tasks that are or may be on machines, by zone

  /// Whether the job's zone constraints allow one more task in the zone.
  bool allows_zone(const std::string& zone) const {
    return sched::tasks_allowed_in_zone(*job, in_zone, zone) > 0;
  }
};

/// Runs the scheduler periodically and on request, and assigns tasks to machines by its plan. The
/// interval between runs grows with their estimated cost. Owned by Term.
class SchedulingLoop {
 public:
  /// All references outlive the loop.
  SchedulingLoop(const TermContext& context, const JobTiming& timing, SnapshotBuilder& snapshots,
                 const TermRecovery& recovery, const GangController& gangs,
                 DirectCommandDispatcher& direct_commands, SchedulingTrigger& trigger)
      : context_(context),
        timing_(timing),
        snapshots_(snapshots),
        recovery_(recovery),
        gangs_(gangs),
        direct_commands_(direct_commands),
        trigger_(trigger) {}

  /// Runs the scheduler if the interval since the last run has elapsed. Called by the term's
  /// periodic loop.
  void run_if_due();
  /// If a run is requested, runs the scheduler now, or as soon as the interval since the last run
  /// has elapsed.
  void run_if_requested();

  /// The demand that the last run could not place.
  const std::vector<Demand>& demand() const { return demand_; }

 private:
  // For each job, the machines that it avoids, as indexes into SchedulingInput::machines.
  using AvoidedMachines = std::vector<std::set<std::size_t>>;
  // The machine and the attempt of a preemption candidate.
  using CandidateRef = std::pair<cluster::Machine*, cluster::TaskAttempt*>;

  void run();
  static AvoidedMachines avoided_machines(const SchedulingInput& input);
  std::uint64_t next_attempt();
  void bind(const SchedulingInput& input, const sched::Placement& placement,
            std::map<std::string, std::uint64_t>& gang_attempts);
  void update_demand(const SchedulingInput& input, const sched::Plan& plan);
  void preempt(SchedulingInput& input, sched::Plan& plan);
  std::vector<sched::PreemptionCandidate> preemption_candidates(
      const SchedulingInput& input, const sched::Plan& plan, std::vector<CandidateRef>& refs) const;
  Seconds work_lost_by_stop(const cluster::TaskAttempt& attempt) const;

  const TermContext& context_;
  const JobTiming& timing_;
  SnapshotBuilder& snapshots_;
  const TermRecovery& recovery_;
  const GangController& gangs_;
  DirectCommandDispatcher& direct_commands_;
  SchedulingTrigger& trigger_;
  std::vector<Demand> demand_;
  std::uint64_t attempt_counter_ = 0;  // attempts that have been numbered in this term
  bool timer_set_ = false;
  TimePoint next_run_{};
  TimePoint next_preemption_{};
};

}  // namespace asterstair::leader
