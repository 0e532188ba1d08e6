#pragma once
// Loss rates by zone and machine kind (DESIGN): losses without notice over a window, with a floor.

#include <deque>
#include <map>
#include <string>

#include "base/time.hpp"

namespace asterstair::sched {

inline constexpr Duration kLossWindow = std::chrono::hours(1);
inline constexpr double kLossFloorPerSecond = 1.0 / (24 * 3600);

struct LossGroup {
  std::string zone;
  bool spot = false;
  auto operator<=>(const LossGroup&) const = default;
};

class LossRates {
 public:
  void lost(const LossGroup& group, TimePoint at);
  // Losses a second of one machine of the group, which has `machines` of them.
  double rate(const LossGroup& group, std::size_t machines, TimePoint now) const;

 private:
  mutable std::map<LossGroup, std::deque<TimePoint>> losses_;
};

}  // namespace asterstair::sched
