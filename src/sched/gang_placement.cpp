#include "sched/gang_placement.hpp"

#include <algorithm>
#include <string>
#include <utility>

#include "sched/constraints.hpp"
#include "sched/sampling.hpp"
#include "sched/score.hpp"

namespace asterstair::sched {
namespace {

using Ranking = std::vector<RankedMachine>;

Ranking filter_by_zone(const PlanningRound& round, const Ranking& ranking,
                       const std::string& zone) {
  Ranking out;
  std::copy_if(ranking.begin(), ranking.end(), std::back_inserter(out),
               [&](const RankedMachine& candidate) {
                 return round.machine(candidate.machine).zone == zone;
               });
  return out;
}

// Returns the zones, ordered by their best-ranked machine.
std::vector<std::string> zones_by_rank(const PlanningRound& round, const Ranking& ranking) {
  std::vector<std::string> zones;
  for (const RankedMachine& candidate : ranking) {
    const std::string& zone = round.machine(candidate.machine).zone;
    if (std::find(zones.begin(), zones.end(), zone) == zones.end()) zones.push_back(zone);
  }
  return zones;
}

// Returns the rankings to try in turn: the last zone if enough machines there have room, then all
// machines. For a gang that must stay in one zone, each zone separately instead of all machines.
std::vector<Ranking> rankings_to_try(const PlanningRound& round, const PlanJob& planned,
                                     const Ranking& ranking) {
  std::vector<Ranking> out;
  if (!planned.last_zone.empty()) {
    Ranking local = filter_by_zone(round, ranking, planned.last_zone);
    if (local.size() >= kMinSameZoneMachines) out.push_back(std::move(local));
  }
  if (!planned.job->one_zone) {
    out.push_back(ranking);
    return out;
  }
  for (const std::string& zone : zones_by_rank(round, ranking)) {
    out.push_back(filter_by_zone(round, ranking, zone));
  }
  return out;
}

// Returns whether the gang was placed.
bool place_all_or_none(PlanningRound& round, PlanJob& planned, const Ranking& ranking) {
  std::uint32_t unplaced = planned.waiting;
  TasksByZone in_zone = planned.in_zone;
  std::vector<std::pair<std::size_t, std::uint32_t>> chosen;  // machine, tasks
  for (const RankedMachine& candidate : ranking) {
    if (unplaced == 0) break;
    const PlanMachine& machine = round.machine(candidate.machine);
    const std::uint32_t tasks =
        std::min({unplaced, tasks_that_fit(*planned.job, machine.free),
                  tasks_allowed_in_zone(*planned.job, in_zone, machine.zone)});
    if (tasks == 0) continue;
    in_zone[machine.zone] += tasks;
    unplaced -= tasks;
    chosen.emplace_back(candidate.machine, tasks);
  }
  if (unplaced > 0) return false;
  for (const auto& [machine, tasks] : chosen) round.place(planned, machine, tasks);
  return true;
}

// Places the gang on the first ranking that has room for all its tasks. Returns whether one has.
bool place_on_first_fitting(PlanningRound& round, PlanJob& planned,
                            const std::vector<std::size_t>& machines) {
  for (const Ranking& ranking : rankings_to_try(round, planned, round.rank(planned, machines))) {
    if (place_all_or_none(round, planned, ranking)) return true;
  }
  return false;
}

}  // namespace

void place_gang(PlanningRound& round, std::size_t job_index) {
  PlanJob& planned = round.job(job_index);
  if (round.tasks_within_quota(planned) < planned.waiting) return;
  std::vector<std::size_t> machines = round.machines_with_room(job_index);
  if (machines.size() <= kSampleThreshold || planned.job->one_zone) {
    place_on_first_fitting(round, planned, machines);
    return;
  }
  if (place_on_first_fitting(round, planned, take_sample(machines, round.rng()))) return;
  place_on_first_fitting(round, planned, round.machines_with_room(job_index));
}

}  // namespace asterstair::sched
