#include "sched/ranking.hpp"

#include <algorithm>

#include "sched/score.hpp"

namespace asterstair::sched {
namespace {

// Penalties for poor matches between job and machine, in free processors. Both exceed the number of
// processors of any machine, so that they outweigh best fit, and the first exceeds the second.
constexpr double kUnneededAcceleratorPenalty = 1e4;
constexpr double kOnDemandPenalty = 1e3;

// Breaks ties between equal scores. Prefers machines without accelerators for tasks that need none,
// then spot machines for jobs that may use them, then the fullest machine (best fit), which leaves
// room for large tasks on the others.
double tie_break_penalty(const JobSpec& spec, const PlanMachine& machine) {
  double penalty = machine.free.cpus;
  if (spec.gpus <= 0 && machine.type->gpus > 0) penalty += kUnneededAcceleratorPenalty;
  if (spec.spot && !machine.spot) penalty += kOnDemandPenalty;
  return penalty;
}

bool ranks_before(const RankedMachine& left, const RankedMachine& right) {
  if (left.score != right.score) return left.score < right.score;
  if (left.penalty != right.penalty) return left.penalty < right.penalty;
  return left.machine < right.machine;
}

}  // namespace

std::vector<RankedMachine> rank_machines(const Snapshot& snapshot, const PlanJob& planned,
                                         const std::vector<std::size_t>& machines) {
  const JobSpec& spec = *planned.job;
  std::vector<double> delays(machines.size());
  double total_delay = 0;
  for (std::size_t i = 0; i < machines.size(); ++i) {
    const bool cached = snapshot.machines[machines[i]].has_image(spec.image);
    delays[i] = start_delay(spec.image_gb, cached).count();
    total_delay += delays[i];
  }
  const auto others = static_cast<double>(machines.size()) - 1;
  std::vector<RankedMachine> ranked;
  ranked.reserve(machines.size());
  for (std::size_t i = 0; i < machines.size(); ++i) {
    const PlanMachine& machine = snapshot.machines[machines[i]];
    const double mean_elsewhere = others > 0 ? (total_delay - delays[i]) / others : 0.0;
    const double score = placement_score(Seconds(delays[i]), machine.loss_rate, planned.remaining,
                                         Seconds(mean_elsewhere));
    ranked.push_back({machines[i], score, tie_break_penalty(spec, machine)});
  }
  std::sort(ranked.begin(), ranked.end(),
            [](const RankedMachine& left, const RankedMachine& right) {
              return ranks_before(left, right);
            });
  return ranked;
}

}  // namespace asterstair::sched
