#pragma once
/// @file
/// The order in which the planner serves waiting jobs, and in which preemption makes room for them.

#include <map>
#include <string>

#include "sched/snapshot.hpp"

namespace asterstair::sched {

/// A job with no started task for this long is starving and precedes others of its priority. Every
/// job, the largest too, is to begin within four minutes. The first three are left to the order by
/// service-level objectives, which puts large and late jobs last.
inline constexpr Seconds kStarvingAfter{180};

/// A job with no task anywhere for this long is overdue and may use reserved resources. No job may
/// wait for 90 s while a machine that fits has room; this is a little less, so that its tasks start
/// in time.
inline constexpr Seconds kOverdueAfter{70};

/// Decides which jobs are within the guaranteed part of their team's quota. A job is, if it fits
/// there together with all earlier unfinished jobs of the team (PROTOCOL). The leader makes one for
/// each snapshot.
class GuaranteedQuota {
 public:
  /// Refers to `teams`, which must outlive this object.
  explicit GuaranteedQuota(const std::map<std::string, TeamState>& teams) : teams_(teams) {}

  /// Returns whether the next job, with so many unfinished tasks, is within its team's guarantee.
  /// The unfinished jobs must be given in the order of their arrival. A job of an unknown team is
  /// not.
  bool covers_next(const JobSpec& job, std::uint32_t unfinished);

 private:
  const std::map<std::string, TeamState>& teams_;
  std::map<std::string, Resources> earlier_;
};

/// Returns whether `left` precedes `right`: a strict weak order. It compares, in this sequence:
/// guarantees; priority; starvation (the longest waiting job first); whether the job can still meet
/// its objective; and last the slack together with the work left on the tasks' dominant resource.
/// Users count jobs, and small jobs in front delay the large ones least.
bool precedes(const PlanJob& left, const PlanJob& right);

}  // namespace asterstair::sched
