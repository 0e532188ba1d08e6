#pragma once
/// @file
/// The order in which the planner places waiting jobs and preemption frees resources for them.

#include <map>
#include <string>

#include "sched/snapshot.hpp"

namespace asterstair::sched {

/// A job of which no task has started for this long is starving and precedes other jobs of its
/// priority. Every job, however large, must start within four minutes. For the first three minutes
/// the order follows service-level objectives, which place large and late jobs last.
inline constexpr Seconds kStarvingAfter{180};

/// A job without a task on any machine for this long is overdue and may use reserved resources. No
/// job may wait for 90 s while a suitable machine has room. This limit is lower, to leave time for
/// its tasks to start.
inline constexpr Seconds kOverdueAfter{70};

/// Decides which jobs are covered by their team's guaranteed quota. A job is covered if the
/// guarantee has room for it and for all earlier unfinished jobs of the team (PROTOCOL). The leader
/// creates one for each snapshot.
class GuaranteedQuota {
 public:
  /// Refers to `teams`, which must outlive this object.
  explicit GuaranteedQuota(const std::map<std::string, TeamState>& teams) : teams_(teams) {}

  /// Returns whether the next job, with `unfinished` unfinished tasks, is covered by its team's
  /// guarantee. Unfinished jobs must be passed in the order of their arrival. A job of an unknown
  /// team is not covered.
  bool covers_next(const JobSpec& job, std::uint32_t unfinished);

 private:
  const std::map<std::string, TeamState>& teams_;
  std::map<std::string, Resources> demand_by_team_;  // of the jobs passed so far
};

/// Returns whether `left` precedes `right`; a strict weak ordering. Compares, in this sequence: the
/// guarantee; the priority; starvation (the longest waiting job first); whether the job can still
/// meet its objective; the slack plus the weighted remaining work on the tasks' dominant resource.
/// Objectives count jobs of any size alike, so small jobs go first: they delay large jobs least.
bool precedes(const PlanJob& left, const PlanJob& right);

}  // namespace asterstair::sched
