#pragma once
/// @file
/// Loss rates by zone and kind of machine (DESIGN; paper V-A): losses without notice within a
/// window, with a floor. The leader's term owns one LossRates and records the losses it observes.

#include <deque>
#include <map>
#include <string>

#include "base/time.hpp"

namespace asterstair::sched {

/// Losses older than this no longer count (DESIGN).
inline constexpr Duration kLossWindow = std::chrono::hours(1);

/// The least rate that is assumed, in losses per second of one machine: one a day (DESIGN). A
/// group that has lost no machine yet is not assumed to be safe.
inline constexpr double kLossFloorPerSecond = 1.0 / (24 * 3600);

/// Machines that are assumed to be lost at the same rate.
struct LossGroup {
  std::string zone;   ///< The machines' zone.
  bool spot = false;  ///< Whether they are spot machines.

  /// Orders groups by zone, then by kind; for use as a map key.
  auto operator<=>(const LossGroup&) const = default;
};

/// Estimates loss rates from the losses within the last kLossWindow. Not thread-safe.
class LossRates {
 public:
  /// Records that a machine of the group was lost without notice. Losses must be recorded in the
  /// order of their time.
  void record_loss(const LossGroup& group, TimePoint at);

  /// Returns the losses per second of one machine of the group, which has `machines` machines; at
  /// least kLossFloorPerSecond. Drops losses that are older than the window.
  double rate(const LossGroup& group, std::size_t machines, TimePoint now) const;

 private:
  mutable std::map<LossGroup, std::deque<TimePoint>> losses_;
};

}  // namespace asterstair::sched
