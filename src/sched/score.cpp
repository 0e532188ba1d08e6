#include "sched/score.hpp"

#include <algorithm>
#include <cmath>

namespace asterstair::sched {
namespace {

// Lower bound of the loss rate in losses per second; avoids a division by zero.
constexpr double kMinLossRatePerSecond = 1e-12;

}  // namespace

Seconds checkpoint_interval(Seconds checkpoint_time, double loss_rate, Seconds loss_budget) {
  const double cost = std::max(checkpoint_time.count(), 0.0);
  const double optimum = std::sqrt(2.0 * cost / std::max(loss_rate, kMinLossRatePerSecond));
  const double min_interval = cost / kMaxCheckpointShare;
  const double max_interval = std::max(2.0 * loss_budget.count(), min_interval);
  return Seconds(std::clamp(optimum, min_interval, max_interval));
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
