#include "sched/planner.hpp"

#include <algorithm>
#include <numeric>

#include "sched/array_placement.hpp"
#include "sched/gang_placement.hpp"
#include "sched/order.hpp"
#include "sched/planning_round.hpp"
#include "sched/reservation.hpp"

namespace asterstair::sched {
namespace {

// Number of unplaced jobs that may reserve machines in one round. More reservations would leave too
// few machines for the jobs that fit.
constexpr std::size_t kMaxReservations = 8;

std::vector<std::size_t> jobs_in_order(const std::vector<PlanJob>& jobs) {
  std::vector<std::size_t> order(jobs.size());
  std::iota(order.begin(), order.end(), 0);
  std::sort(order.begin(), order.end(),
            [&](std::size_t left, std::size_t right) { return precedes(jobs[left], jobs[right]); });
  return order;
}

void place_job(PlanningRound& round, std::size_t job_index) {
  if (round.job(job_index).job->gang()) {
    place_gang(round, job_index);
  } else {
    place_array(round, job_index);
  }
}

}  // namespace

Plan plan(Snapshot& snapshot, Rng& rng) {
  Plan plan;
  plan.steps = snapshot.machines.size() + snapshot.jobs.size();
  const std::vector<std::size_t> order = jobs_in_order(snapshot.jobs);
  PlanningRound round(snapshot, rng, plan);
  for (const std::size_t job_index : order) {
    const PlanJob& planned = snapshot.jobs[job_index];
    if (planned.waiting == 0) continue;
    place_job(round, job_index);
    if (planned.waiting == 0) continue;
    plan.unplaced.emplace_back(job_index, planned.waiting);
    if (plan.unplaced.size() <= kMaxReservations) reserve_machines(round, job_index);
  }
  return plan;
}

}  // namespace asterstair::sched
