#pragma once
/// @file
/// Placement constraints (PROTOCOL): the machine types, the zones and the use of spot machines that
/// a job allows, and its team's quota. Called by the planner, by preemption, and by the leader and
/// the autoscaler to check whether a machine is eligible for a job.

#include <cstdint>

#include "sched/snapshot.hpp"

namespace asterstair::sched {

/// Returns whether the job's description allows the machine. Constraints that depend on where the
/// job's other tasks are (one zone, spread) are checked by tasks_allowed_in_zone().
bool allowed_on(const JobSpec& job, const PlanMachine& machine);

/// Returns how many more tasks the job's zone constraints allow in `zone`, given the zones of its
/// other tasks in `in_zone`. Returns UINT32_MAX if there is no limit.
std::uint32_t tasks_allowed_in_zone(const JobSpec& job, const TasksByZone& in_zone,
                                    const std::string& zone);

/// Returns how many more tasks of the job fit within the maximum of its team's quota.
std::uint32_t tasks_within_quota(const TeamState& team, const JobSpec& job);

}  // namespace asterstair::sched
