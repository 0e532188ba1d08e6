#include "sched/reservation.hpp"

#include <algorithm>
#include <optional>
#include <set>
#include <string>
#include <utility>

#include "sched/constraints.hpp"

namespace asterstair::sched {
namespace {

// Minimum wait before a job gets a reservation: most jobs are placed at once and need none.
constexpr Seconds kReserveAfter{1};

// Returns the processors that are free or being freed.
double nearly_free_cpus(const PlanMachine& machine) {
  return machine.free.cpus + machine.freeing.cpus;
}

// Returns the machines that could be reserved for the job, ordered by nearly free processors (most
// first).
std::vector<std::size_t> reservable_machines(PlanningRound& round, const PlanJob& planned) {
  std::vector<std::size_t> found;
  for (const MachineGroup& group : round.groups()) {
    if (!allowed_on(planned, group) || group.type->max_tasks(*planned.job) == 0) continue;
    for (const std::size_t index : group.machines) {
      if (!round.machine(index).reserved_for) found.push_back(index);
    }
  }
  round.count_examined(found.size());
  std::sort(found.begin(), found.end(), [&](std::size_t left, std::size_t right) {
    return std::pair(nearly_free_cpus(round.machine(left)), right) >
           std::pair(nearly_free_cpus(round.machine(right)), left);
  });
  return found;
}

// Returns the first machines that would have room for `tasks` tasks if they were empty. Considers
// the machines in the zone, or in any zone if `zone` is null. Returns nothing if all of them
// together do not have enough room.
std::optional<std::vector<std::size_t>> choose_sufficient(const PlanningRound& round,
                                                          const PlanJob& planned,
                                                          const std::vector<std::size_t>& machines,
                                                          const std::string* zone,
                                                          std::uint32_t tasks) {
  std::vector<std::size_t> chosen;
  TasksByZone in_zone = planned.in_zone;
  for (const std::size_t index : machines) {
    if (tasks == 0) break;
    const PlanMachine& machine = round.machine(index);
    if (zone != nullptr && machine.zone != *zone) continue;
    const std::uint32_t tasks_here =
        std::min({tasks, machine.type->max_tasks(*planned.job),
                  tasks_allowed_in_zone(*planned.job, in_zone, machine.zone)});
    if (tasks_here == 0) continue;
    in_zone[machine.zone] += tasks_here;
    tasks -= tasks_here;
    chosen.push_back(index);
  }
  if (tasks > 0) return std::nullopt;
  return chosen;
}

double total_nearly_free_cpus(const PlanningRound& round,
                              const std::vector<std::size_t>& machines) {
  double total = 0;
  for (const std::size_t index : machines) total += nearly_free_cpus(round.machine(index));
  return total;
}

// Returns machines with enough room for the gang in one zone: the zone where the chosen machines
// have the most nearly free processors. Returns no machines if no zone has enough room.
std::vector<std::size_t> choose_in_best_zone(const PlanningRound& round, const PlanJob& planned,
                                             const std::vector<std::size_t>& machines,
                                             std::uint32_t tasks) {
  std::set<std::string> zones;
  for (const std::size_t index : machines) zones.insert(round.machine(index).zone);
  std::vector<std::size_t> best;
  double best_free = -1;
  for (const std::string& zone : zones) {
    auto chosen = choose_sufficient(round, planned, machines, &zone, tasks);
    if (!chosen) continue;
    const double free = total_nearly_free_cpus(round, *chosen);
    if (free <= best_free) continue;
    best = std::move(*chosen);
    best_free = free;
  }
  return best;
}

std::vector<std::size_t> choose_machines(const PlanningRound& round, const PlanJob& planned,
                                         const std::vector<std::size_t>& machines,
                                         std::uint32_t tasks) {
  if (planned.job->gang() && planned.job->one_zone) {
    return choose_in_best_zone(round, planned, machines, tasks);
  }
  return choose_sufficient(round, planned, machines, nullptr, tasks)
      .value_or(std::vector<std::size_t>{});
}

}  // namespace

void reserve_machines(PlanningRound& round, std::size_t job_index) {
  const PlanJob& planned = round.job(job_index);
  const std::uint32_t within_quota = round.tasks_within_quota(planned);
  // An array can start with one task, so room for one task is enough.
  const std::uint32_t tasks = planned.job->gang() ? planned.waiting : 1;
  if (planned.waited < kReserveAfter || within_quota < tasks) return;
  const std::vector<std::size_t> machines = reservable_machines(round, planned);
  for (const std::size_t index : choose_machines(round, planned, machines, tasks)) {
    round.reserve(index, job_index);
  }
}

}  // namespace asterstair::sched
