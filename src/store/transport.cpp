#include "store/transport.hpp"

#include "base/http_status.hpp"
#include "base/log.hpp"

namespace asterstair::store {
namespace {

// Single requests fail in normal operation. Users' requests are refused only if all requests have
// failed for this time.
constexpr auto kDownTimeout = 2s;
// Minimum time between two log lines on refused requests, however many are refused.
constexpr auto kMinRateLimitLogInterval = 10s;

}  // namespace

void Transport::send(HttpRequest request, Duration timeout, HttpCallback done) {
  runtime_.http(address_, std::move(request), timeout,
                [this, done = std::move(done)](HttpResponse response) {
                  track_health(response.status);
                  done(std::move(response));
                });
}

void Transport::send_unqueued(HttpRequest request, Duration timeout, HttpCallback done) {
  request_limit_.take_unconditionally(1, now());
  send(std::move(request), timeout, std::move(done));
}

void Transport::send_watch(HttpRequest request, Duration timeout, HttpCallback done) {
  request_limit_.take_unconditionally(1, now());
  runtime_.http(address_, std::move(request), timeout,
                [this, done = std::move(done)](HttpResponse response) {
                  if (response.status != http_status::kNoAnswer) track_health(response.status);
                  done(std::move(response));
                });
}

void Transport::track_health(int status) {
  // Status 429 counts as served: a service that enforces its rate limit works.
  if (status == http_status::kTooManyRequests) count_rate_limited();
  if (status != http_status::kNoAnswer && status != http_status::kServiceUnavailable) {
    last_answer_ = now();
    failing_since_ = {};
  } else if (failing_since_ == TimePoint{}) {
    failing_since_ = now();
  }
}

void Transport::count_rate_limited() {
  ++rate_limited_;
  const bool logged_recently = rate_limit_logged_at_ != TimePoint{} &&
                               now() - rate_limit_logged_at_ <= kMinRateLimitLogInterval;
  if (logged_recently) return;
  rate_limit_logged_at_ = now();
  log::info("state service rate limit reached: {} requests refused since the start", rate_limited_);
}

bool Transport::seems_down() const {
  return failing_since_ != TimePoint{} && now() - failing_since_ > kDownTimeout;
}

bool Transport::answered_within(Duration within) const {
  return last_answer_ != TimePoint{} && now() - last_answer_ < within;
}

}  // namespace asterstair::store
