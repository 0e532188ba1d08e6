#pragma once
/// @file
/// Rate limiting of requests to a service whose limit is shared by all nodes.

#include <algorithm>

#include "base/time.hpp"

namespace asterstair::store {

/// Token bucket: tokens arrive at a fixed rate up to a burst, and every request takes some.
///
/// The state service's client owns one for requests and one for changes; the cloud's client owns
/// one for calls. The class reads no clock: every function takes the current time, which must not
/// decrease from one call to the next.
class TokenBucket {
 public:
  /// @param per_second  tokens that arrive per second
  /// @param burst       most tokens that the bucket holds; at least 1. The bucket starts full.
  TokenBucket(double per_second, double burst)
      : rate_(per_second), burst_(std::max(burst, 1.0)), tokens_(burst_) {}

  /// Takes `amount` tokens if they are there, and returns whether it did. An amount beyond the
  /// burst is granted once the bucket is full, and leaves a debt.
  bool take(double amount, TimePoint now) {
    refill(now);
    if (tokens_ < std::min(amount, burst_)) return false;
    tokens_ -= amount;
    return true;
  }

  /// Takes `amount` tokens even if they are not there. For requests that must not wait, such as
  /// the renewal of the leader's store lease: the debt delays the requests that can wait.
  void take_unconditionally(double amount, TimePoint now) {
    refill(now);
    tokens_ -= amount;
  }

  /// Returns the time until `amount` tokens can be taken; zero if they can be taken now.
  Duration wait_for(double amount, TimePoint now) {
    refill(now);
    const double missing = std::min(amount, burst_) - tokens_;
    Duration wait = missing <= 0 ? Duration::zero() : to_duration(Seconds(missing / rate_));
    if (now < blocked_until_) wait = std::max<Duration>(wait, blocked_until_ - now);
    return wait;
  }

  /// Empties the bucket and keeps it empty for `pause`. Called when the service answers that its
  /// limit is reached: the other nodes use the same limit, and their requests go first.
  void on_rate_limited(TimePoint now, Duration pause) {
    refill(now);
    tokens_ = std::min(tokens_, 0.0);
    blocked_until_ = now + pause;
  }

 private:
  void refill(TimePoint now) {
    if (now < blocked_until_) {
      refilled_at_ = now;
      return;
    }
    if (refilled_at_ != TimePoint{}) {
      tokens_ = std::min(burst_, tokens_ + rate_ * seconds(now - refilled_at_));
    }
    refilled_at_ = now;
  }

  double rate_, burst_;
  double tokens_;  // negative: a debt
  TimePoint refilled_at_{}, blocked_until_{};
};

}  // namespace asterstair::store
