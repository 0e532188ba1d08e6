#pragma once
/// @file
/// Transport to the state service, with its address, request rate limit and health tracking.

#include <string>

#include "base/runtime.hpp"
#include "store/token_bucket.hpp"

namespace asterstair::store {

/// Time for which this node sends no queued requests after status 429. It leaves the rate limit,
/// which all nodes share, to the other nodes.
inline constexpr auto kRateLimitPause = 150ms;

/// Sends requests to the state service and tracks whether it responds.
///
/// Store owns it; ReadQueue, WriteQueue and list_prefix() send through it. It must outlive the
/// requests in flight, whose callbacks use it.
class Transport {
 public:
  /// @param address        address of the state service
  /// @param request_limit  this node's share of the rate limit on requests
  Transport(Runtime& runtime, std::string address, TokenBucket request_limit)
      : runtime_(runtime), address_(std::move(address)), request_limit_(request_limit) {}

  /// Sends a request. The caller must have taken a token from request_limit(). `done` runs exactly
  /// once, with http_status::kNoAnswer after `timeout`.
  void send(HttpRequest request, Duration timeout, HttpCallback done);

  /// Like send(), but takes the token itself and does not wait until one is available. For requests
  /// that leadership depends on, such as the renewal of a store lease, and for lists.
  void send_unqueued(HttpRequest request, Duration timeout, HttpCallback done);

  /// Like send_unqueued(), but a missing response does not count as a failed request: a watch that
  /// is open during an outage gets none.
  void send_watch(HttpRequest request, Duration timeout, HttpCallback done);

  /// Whether requests have failed for more than 2 s and none has been served in that time.
  bool seems_down() const;

  /// Time of the first failure since the last served request; the clock's epoch if there is none.
  TimePoint failing_since() const { return failing_since_; }

  /// Time of the last served request; the clock's epoch if none has been served.
  TimePoint last_answer() const { return last_answer_; }

  /// Whether a request was served less than `within` ago.
  bool answered_within(Duration within) const;

  /// The rate limit on requests, against which every kind of request counts.
  TokenBucket& request_limit() { return request_limit_; }

  Runtime& runtime() { return runtime_; }
  TimePoint now() const { return runtime_.now(); }

 private:
  void track_health(int status);
  void count_rate_limited();

  Runtime& runtime_;
  std::string address_;
  TokenBucket request_limit_;
  TimePoint last_answer_{}, failing_since_{};
  TimePoint rate_limit_logged_at_{};
  std::uint64_t rate_limited_ = 0;  // responses with status 429 since the start
};

}  // namespace asterstair::store
