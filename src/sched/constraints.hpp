#pragma once
// What PROTOCOL allows a job: types, zones, kinds of machines, and its team's limit.

#include <cstdint>

#include "sched/snapshot.hpp"

namespace asterstair::sched {

// Whether the job's description allows the machine; rules that depend on its other tasks aside.
bool allowed_on(const JobSpec& job, const PlanMachine& machine);

// How many more tasks of the job its zone rules allow there, with those in `in_zone`.
std::uint32_t zone_room(const JobSpec& job, const TasksByZone& in_zone, const std::string& zone);

// How many more tasks of the job its team's limit allows.
std::uint32_t team_room(const TeamState& team, const JobSpec& job);

}  // namespace asterstair::sched
