#pragma once
// The order in which waiting jobs are placed, and in which room is made for them.

#include <map>
#include <string>

#include "sched/snapshot.hpp"

namespace asterstair::sched {

// Every job, the largest too, is to begin within four minutes: three are left to the order by
// aims, which puts large and late ones last.
inline constexpr Seconds kStarvingAfter{180};

// No job is left waiting for 90 s while a machine that fits has room: a little earlier, one of
// which nothing is anywhere takes what is otherwise kept for others.
inline constexpr Seconds kOverdueAfter{70};

// A job is within its team's guarantee if it fits there together with the team's earlier jobs that
// are not finished (PROTOCOL). Takes the unfinished jobs in the order of their arrival.
class Guarantees {
 public:
  explicit Guarantees(const std::map<std::string, TeamState>& teams) : teams_(teams) {}
  bool next(const JobSpec& job, std::uint32_t unfinished);

 private:
  const std::map<std::string, TeamState>& teams_;
  std::map<std::string, Resources> earlier_;
};

// Whether the job precedes the other: guarantees, priority, those about to miss their beginning
// (the longest waiting first), then those that can still be in time, then the one with less work
// left on its tasks' dominant resource: users count jobs, and small ones in front delay the large
// ones least.
bool precedes(const PlanJob& a, const PlanJob& b);

}  // namespace asterstair::sched
