#include "sched/score.hpp"

#include <algorithm>
#include <cmath>

namespace asterstair::sched {
namespace {

// Losses per second below which a rate counts as this, so that no interval is infinite.
constexpr double kLeastLossRate = 1e-12;

}  // namespace

Seconds checkpoint_interval(Seconds checkpoint_time, double loss_rate, Seconds loss_budget) {
  const double cost = std::max(checkpoint_time.count(), 0.0);
  const double best = std::sqrt(2.0 * cost / std::max(loss_rate, kLeastLossRate));
  const double least = cost / kCheckpointShare;
  const double most = std::max(2.0 * loss_budget.count(), least);
  return Seconds(std::clamp(best, least, most));
}

double loss_probability(double loss_rate, Seconds remaining) {
  return 1.0 - std::exp(-loss_rate * std::max(remaining.count(), 0.0));
}

Seconds start_delay(double image_gb, bool cached, double gb_per_second) {
  return Seconds(cached ? 0.0 : image_gb / gb_per_second);
}

double placement_score(Seconds delay, double loss_rate, Seconds remaining,
                       Seconds mean_delay_elsewhere, double weight) {
  return delay.count() +
         weight * loss_probability(loss_rate, remaining) * mean_delay_elsewhere.count();
}

bool final_checkpoint_fits(Seconds checkpoint_time, Seconds restart_time,
                           Seconds preemption_notice) {
  return checkpoint_time + restart_time <= preemption_notice;
}

}  // namespace asterstair::sched
