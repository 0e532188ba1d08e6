#include "sched/order.hpp"

namespace asterstair::sched {
namespace {

// Seconds of slack that a core-second of work left weighs.
constexpr double kWorkWeight = 0.01;

// Work left on the resource that is short for the job: accelerators if it needs them.
double dominant_work(const PlanJob& j) {
  return j.work.count() * (j.job->gpus > 0 ? j.job->gpus * kCpusPerGpu : j.job->cpus);
}

}  // namespace

bool Guarantees::next(const JobSpec& job, std::uint32_t unfinished) {
  const auto team = teams_.find(job.team);
  if (team == teams_.end()) return false;
  const auto& t = team->second;
  auto& earlier = earlier_[job.team];
  earlier.add(job, unfinished);
  if (t.guaranteed_cpus <= 0 && t.guaranteed_gpus <= 0) return false;
  return earlier.cpus <= t.guaranteed_cpus + kRounding &&
         earlier.gpus <= t.guaranteed_gpus + kRounding;
}

bool precedes(const PlanJob& a, const PlanJob& b) {
  if (a.guaranteed != b.guaranteed) return a.guaranteed;
  if (a.job->priority != b.job->priority) return a.job->priority > b.job->priority;
  if (a.starving != b.starving) return a.starving;
  if (a.starving && a.waited != b.waited) return a.waited > b.waited;
  const bool a_late = a.slack < 0, b_late = b.slack < 0;
  if (a_late != b_late) return b_late;
  const double a_key = a.slack + kWorkWeight * dominant_work(a);
  const double b_key = b.slack + kWorkWeight * dominant_work(b);
  if (a_key != b_key) return a_key < b_key;
  return a.job->id < b.job->id;
}

}  // namespace asterstair::sched
