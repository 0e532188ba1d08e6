#pragma once
// A queue's timer: set to several times, it goes off at the earliest.

#include <algorithm>
#include <functional>
#include <optional>

#include "base/runtime.hpp"

namespace asterstair::store {

class WakeTimer {
 public:
  // `action` looks at everything that waits. Whoever holds the timer outlives the runtime's timers.
  WakeTimer(Runtime& runtime, std::function<void()> action)
      : runtime_(runtime), action_(std::move(action)) {}

  void set(Duration delay) {
    delay = std::max<Duration>(delay, kSoonest);
    const auto at = runtime_.now() + delay;
    if (at_ && *at_ <= at) return;
    at_ = at;
    runtime_.after(delay, [this, at] {
      if (at_ != at) return;  // an earlier one has been set since
      at_.reset();
      action_();
    });
  }

 private:
  static constexpr auto kSoonest = std::chrono::milliseconds(2);

  Runtime& runtime_;
  std::function<void()> action_;
  std::optional<TimePoint> at_;
};

}  // namespace asterstair::store
