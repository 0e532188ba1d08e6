#pragma once
/// @file
/// Transport to the state service: its address, its request rate limit and its health.

#include <string>

#include "base/runtime.hpp"
#include "store/token_bucket.hpp"

namespace asterstair::store {

/// Time for which this node sends nothing that can wait after the answer 429, so that the other
/// nodes, which share the rate limit, get through.
inline constexpr auto kRateLimitedPause = 150ms;

/// Sends requests to the state service and tracks whether it answers.
///
/// Store owns it; ReadQueue, WriteQueue and list_prefix() send through it. It must outlive the
/// requests under way, whose callbacks use it.
class Transport {
 public:
  /// @param address        address of the state service
  /// @param request_limit  this node's share of the rate limit on requests
  Transport(Runtime& runtime, std::string address, TokenBucket request_limit)
      : runtime_(runtime), address_(std::move(address)), request_limit_(request_limit) {}

  /// Sends a request whose token the caller has taken from request_limit(). `done` runs exactly
  /// once, with http_status::kNoAnswer after `timeout`.
  void send(HttpRequest request, Duration timeout, HttpCallback done);

  /// As send(), but takes the token itself and never waits for one. For requests that leadership
  /// depends on, such as the renewal of a store lease.
  void send_now(HttpRequest request, Duration timeout, HttpCallback done);

  /// As send_now(), but no answer is no failure: an open watch gets none through an outage.
  void send_watch(HttpRequest request, Duration timeout, HttpCallback done);

  /// Whether requests have failed for more than 2 s with none served in between.
  bool seems_down() const;

  /// Start of the current series of failed requests; the epoch if the last request was served.
  TimePoint failing_since() const { return failing_since_; }

  /// Time of the last request that was served; the epoch if none was.
  TimePoint last_answer() const { return last_answer_; }

  /// Whether a request was served less than `within` ago.
  bool answered_within(Duration within) const;

  /// The rate limit on requests, all of which count whatever they do.
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
  std::uint64_t rate_limited_ = 0;  // requests answered 429 since the start
};

}  // namespace asterstair::store
