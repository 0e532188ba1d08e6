#include "sched/order.hpp"

namespace asterstair::sched {
namespace {

// Weight of the remaining work in urgency_key(): seconds of slack per core-second of work.
constexpr double kWorkWeight = 0.01;

// Returns the remaining work on the job's dominant resource, in core-seconds: accelerators if it
// needs them, processors otherwise.
double dominant_work(const PlanJob& planned) {
  const JobSpec& spec = *planned.job;
  return planned.work.count() * (spec.gpus > 0 ? spec.gpus * kCpusPerGpu : spec.cpus);
}

double urgency_key(const PlanJob& planned) {
  return planned.slack + kWorkWeight * dominant_work(planned);
}

bool is_late(const PlanJob& planned) { return planned.slack < 0; }

}  // namespace

bool GuaranteedQuota::covers_next(const JobSpec& job, std::uint32_t unfinished) {
  const auto it = teams_.find(job.team);
  if (it == teams_.end()) return false;
  const TeamState& team = it->second;
  Resources& demand = demand_by_team_[job.team];
  demand.add(job, unfinished);
  if (team.guaranteed_cpus <= 0 && team.guaranteed_gpus <= 0) return false;
  return demand.cpus <= team.guaranteed_cpus + kRoundingTolerance &&
         demand.gpus <= team.guaranteed_gpus + kRoundingTolerance;
}

bool precedes(const PlanJob& left, const PlanJob& right) {
  if (left.guaranteed != right.guaranteed) return left.guaranteed;
  if (left.job->priority != right.job->priority) return left.job->priority > right.job->priority;
  if (left.starving != right.starving) return left.starving;
  if (left.starving && left.waited != right.waited) return left.waited > right.waited;
  if (is_late(left) != is_late(right)) return is_late(right);
  const double left_key = urgency_key(left);
  const double right_key = urgency_key(right);
  if (left_key != right_key) return left_key < right_key;
  return left.job->id < right.job->id;
}

}  // namespace asterstair::sched
