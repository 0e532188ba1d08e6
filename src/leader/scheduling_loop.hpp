#pragma once
/// @file
/// When to schedule, and what becomes of a plan: assignments, demand for machines, preemption.

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
#include "sched/snapshot.hpp"

namespace asterstair::leader {

/// Waiting work for which the present machines have no room.
struct Demand {
  /// The job's description.
  JobSpecPtr job;
  std::uint32_t tasks = 0;  ///< within the team's limit
  Seconds remaining{0};     ///< estimated run time of a task
  double slack = 0;         ///< see JobTiming::slack
  /// Within its team's guarantee, where the operator states how soon such work is to start.
  bool urgent = false;
};

/// Runs the scheduler when it is requested, spaced by what a run costs, and binds its placements.
/// Owned by Term.
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

  /// Schedules, if the last run is long enough ago. Called by the term's periodic loop.
  void run_if_due();
  /// If scheduling is requested: schedules now, or as soon as the last run is long enough ago.
  void run_if_requested();

  /// What found no room in the last run.
  const std::vector<Demand>& demand() const { return demand_; }

 private:
  // Machines that each job avoids, as indexes of SchedulingInput::machines.
  using AvoidedMachines = std::vector<std::set<std::size_t>>;
  // A preemption candidate's machine and attempt.
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
  std::uint64_t attempts_ = 0;  // numbered so far in this term
  bool timer_set_ = false;
  TimePoint next_run_{};
  TimePoint next_preemption_{};
};

}  // namespace asterstair::leader
