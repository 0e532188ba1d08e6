#include "sched/loss.hpp"

#include <algorithm>

namespace asterstair::sched {

void LossRates::record_loss(const LossGroup& group, TimePoint at) { losses_[group].push_back(at); }

double LossRates::rate(const LossGroup& group, std::size_t machines, TimePoint now) const {
  const auto it = losses_.find(group);
  if (it == losses_.end()) return kLossFloorPerSecond;
  auto& times = it->second;
  while (!times.empty() && now - times.front() > kLossWindow) times.pop_front();
  const double per_machine = static_cast<double>(times.size()) /
                             static_cast<double>(std::max<std::size_t>(machines, 1)) /
                             seconds(kLossWindow);
  return std::max(per_machine, kLossFloorPerSecond);
}

}  // namespace asterstair::sched
