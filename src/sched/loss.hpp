#pragma once
/// @file
/// Machine loss rates by zone and by spot or on-demand (DESIGN; paper V-A): losses without notice
/// within a sliding window, with a minimum rate. Each leader term owns one LossRates and records
/// the losses that it observes.

#include <deque>
#include <map>
#include <string>

#include "base/time.hpp"

namespace asterstair::sched {

/// Length of the sliding window: older losses do not count (DESIGN).
inline constexpr Duration kLossWindow = std::chrono::hours(1);

/// Minimum loss rate, in losses per second and machine: one loss a day (DESIGN). A group without
/// recorded losses is not assumed to be loss-free.
inline constexpr double kLossFloorPerSecond = 1.0 / (24 * 3600);

/// A group of machines that are assumed to have the same loss rate.
struct LossGroup {
  std::string zone;   ///< The machines' zone.
  bool spot = false;  ///< Whether they are spot machines.

  /// Orders groups by zone, then by spot; for use as a map key.
  auto operator<=>(const LossGroup&) const = default;
};

/// Estimates loss rates from the losses within the last kLossWindow. Not thread-safe.
class LossRates {
 public:
  /// Records that a machine of the group was lost without notice. Losses must be recorded in
  /// chronological order.
  void record_loss(const LossGroup& group, TimePoint at);

  /// Returns the losses per second and machine of the group, which has `machines` machines; at
  /// least kLossFloorPerSecond. Drops losses that are older than the window.
  double rate(const LossGroup& group, std::size_t machines, TimePoint now) const;

 private:
  mutable std::map<LossGroup, std::deque<TimePoint>> losses_;
};

}  // namespace asterstair::sched
