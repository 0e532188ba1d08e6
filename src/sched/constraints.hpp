#pragma once
/// @file
/// The placement constraints of PROTOCOL: machine types, zones and kinds of machines that a job
/// allows, and the quota of its team. Called by the planner, by preemption, and by the leader and
/// the autoscaler where they ask whether a machine could take a job at all.

#include <cstdint>

#include "sched/snapshot.hpp"

namespace asterstair::sched {

/// Returns whether the job's description allows the machine. Rules that depend on where the job's
/// other tasks are (one zone, spread) are left to tasks_allowed_in_zone().
bool allowed_on(const JobSpec& job, const PlanMachine& machine);

/// Returns how many more tasks of the job its zone rules allow in `zone`, given its tasks in
/// `in_zone`. Returns UINT32_MAX without a limit.
std::uint32_t tasks_allowed_in_zone(const JobSpec& job, const TasksByZone& in_zone,
                                    const std::string& zone);

/// Returns how many more tasks of the job the maximum of its team's quota allows.
std::uint32_t tasks_within_quota(const TeamState& team, const JobSpec& job);

}  // namespace asterstair::sched
