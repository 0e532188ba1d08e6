#pragma once
/// @file
/// Timer that wakes a queue.

#include <algorithm>
#include <functional>
#include <optional>

#include "base/runtime.hpp"

namespace asterstair::store {

/// Runs an action at the earliest of the times it was set to since it last ran.
///
/// ReadQueue and WriteQueue own one each. Its owner must outlive the runtime's timers, which hold
/// a reference to it and are not cancelled.
class WakeTimer {
 public:
  /// @param action  looks at everything that waits; it sets the timer again if anything still does
  WakeTimer(Runtime& runtime, std::function<void()> action)
      : runtime_(runtime), action_(std::move(action)) {}

  /// Sets the timer to go off after `delay`, unless it goes off earlier already.
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
  // Bounds how often a queue is looked at, and lets writes of one turn of the loop gather.
  static constexpr auto kMinDelay = std::chrono::milliseconds(2);

  Runtime& runtime_;
  std::function<void()> action_;
  std::optional<TimePoint> at_;  // when the action runs next
};

}  // namespace asterstair::store
