#include "sched/array_placement.hpp"

#include <algorithm>

#include "sched/constraints.hpp"
#include "sched/sampling.hpp"

namespace asterstair::sched {
namespace {

// Places waiting tasks on the candidates, in their order. Returns whether any task was placed.
bool place_on(PlanningRound& round, PlanJob& planned,
              const std::vector<RankedMachine>& candidates) {
  bool any_placed = false;
  for (const RankedMachine& candidate : candidates) {
    if (planned.waiting == 0) break;
    const PlanMachine& machine = round.machine(candidate.machine);
    const std::uint32_t tasks =
        std::min({planned.waiting, round.array_tasks_that_fit(planned, machine),
                  round.tasks_within_quota(planned),
                  tasks_allowed_in_zone(*planned.job, planned.in_zone, machine.zone)});
    if (tasks == 0) continue;
    round.place(planned, candidate.machine, tasks);
    any_placed = true;
  }
  return any_placed;
}

}  // namespace

void place_array(PlanningRound& round, std::size_t job_index) {
  PlanJob& planned = round.job(job_index);
  std::vector<std::size_t> machines = round.machines_with_room(job_index);
  while (planned.waiting > 0 && !machines.empty()) {
    const std::vector<std::size_t> sample = take_sample(machines, round.rng());
    if (!place_on(round, planned, round.rank(planned, sample))) break;
  }
}

}  // namespace asterstair::sched
