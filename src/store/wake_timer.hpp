#pragma once
/// @file
/// Timer that triggers the processing of a queue.

#include <algorithm>
#include <functional>
#include <optional>

#include "base/runtime.hpp"

namespace asterstair::store {

/// Timer that can be set several times: it runs its action once, at the earliest of the times set
/// since the last run.
///
/// ReadQueue and WriteQueue own one each. Its owner must outlive the runtime's timers, which hold a
/// reference to it and are not cancelled.
class WakeTimer {
 public:
  /// @param action  processes the queue; it sets the timer again if the queue is not empty then
  WakeTimer(Runtime& runtime, std::function<void()> action)
      : runtime_(runtime), action_(std::move(action)) {}

  /// Runs the action after `delay`, unless it is due earlier already. Delays below kMinDelay are
  /// raised to it.
  void set(Duration delay) {
    delay = std::max<Duration>(delay, kMinDelay);
    const auto at = runtime_.now() + delay;
    if (at_ && *at_ <= at) return;
    at_ = at;
    runtime_.after(delay, [this, at] {
      if (at_ != at) return;  // superseded by an earlier time
      at_.reset();
      action_();
    });
  }

 private:
  // Limits how often a queue is processed, and collects the writes of one event loop iteration.
  static constexpr auto kMinDelay = std::chrono::milliseconds(2);

  Runtime& runtime_;
  std::function<void()> action_;
  std::optional<TimePoint> at_;  // time of the next run
};

}  // namespace asterstair::store
