#pragma once
// Token bucket for a limit of so many per second.

#include <algorithm>

#include "base/time.hpp"

namespace asterstair::store {

class Budget {
 public:
  Budget(double per_second, double burst)
      : rate_(per_second), burst_(std::max(burst, 1.0)), tokens_(burst_) {}

  bool take(double amount, TimePoint now) {
    refill(now);
    // An amount beyond the burst goes out once the bucket is full, and leaves a debt.
    if (tokens_ < std::min(amount, burst_)) return false;
    tokens_ -= amount;
    return true;
  }
  // For requests that must not wait, such as renewing the leader's grant.
  void force(double amount, TimePoint now) {
    refill(now);
    tokens_ -= amount;
  }
  Duration wait_for(double amount, TimePoint now) {
    refill(now);
    const double missing = std::min(amount, burst_) - tokens_;
    Duration wait = missing <= 0 ? Duration::zero() : to_duration(Seconds(missing / rate_));
    if (now < blocked_until_) wait = std::max<Duration>(wait, blocked_until_ - now);
    return wait;
  }
  // The other side said that the limit is reached: the other nodes use it as well.
  void refused(TimePoint now, Duration pause) {
    refill(now);
    tokens_ = std::min(tokens_, 0.0);
    blocked_until_ = now + pause;
  }

 private:
  void refill(TimePoint now) {
    if (now < blocked_until_) {
      last_ = now;
      return;
    }
    if (last_ != TimePoint{}) tokens_ = std::min(burst_, tokens_ + rate_ * seconds(now - last_));
    last_ = now;
  }

  double rate_, burst_, tokens_;
  TimePoint last_{}, blocked_until_{};
};

}  // namespace asterstair::store
