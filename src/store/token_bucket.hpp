#pragma once
/// @file
/// Rate limiter for requests to a service whose rate limit all nodes share.

#include <algorithm>

#include "base/time.hpp"

namespace asterstair::store {

/// Token bucket: it is refilled at a fixed rate up to a burst, and every request takes tokens.
///
/// The client of the state service owns one for requests and one for changes; the client of the
/// cloud owns one for calls. The class reads no clock: every function takes the current time, which
/// must not decrease from one call to the next.
class TokenBucket {
 public:
  /// @param per_second  tokens added per second
  /// @param burst       maximum tokens in the bucket; at least 1. The bucket starts full.
  TokenBucket(double per_second, double burst)
      : rate_(per_second), burst_(std::max(burst, 1.0)), tokens_(burst_) {}

  /// Takes `amount` tokens if they are available, and returns whether it did. An amount greater
  /// than the burst is granted once the bucket is full, and leaves a debt (a negative number of
  /// tokens).
  bool take(double amount, TimePoint now) {
    refill(now);
    if (tokens_ < std::min(amount, burst_)) return false;
    tokens_ -= amount;
    return true;
  }

  /// Takes `amount` tokens even if they are not available. For requests that must not wait, such as
  /// the renewal of the leader's store lease. The debt delays the requests that can wait.
  void take_unconditionally(double amount, TimePoint now) {
    refill(now);
    tokens_ -= amount;
  }

  /// Returns the time until `amount` tokens are available; zero if they are available now.
  Duration time_until_available(double amount, TimePoint now) {
    refill(now);
    const double missing = std::min(amount, burst_) - tokens_;
    Duration wait = missing <= 0 ? Duration::zero() : to_duration(Seconds(missing / rate_));
    if (now < blocked_until_) wait = std::max<Duration>(wait, blocked_until_ - now);
    return wait;
  }

  /// Empties the bucket and keeps it empty for `pause`. Called when the service reports that its
  /// rate limit is reached: the pause leaves the shared limit to the requests of the other nodes.
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
  double tokens_;  // negative if there is a debt
  TimePoint refilled_at_{}, blocked_until_{};
};

}  // namespace asterstair::store
