#include "store/transport.hpp"

#include "base/http_status.hpp"
#include "base/log.hpp"

namespace asterstair::store {
namespace {

// A single failed request is ordinary; users' requests are refused only after a series.
constexpr auto kDownAfter = 2s;
// The log gets one line of refused requests in this time, however many there are.
constexpr auto kRateLimitLogInterval = 10s;

}  // namespace

void Transport::send(HttpRequest request, Duration timeout, HttpCallback done) {
  runtime_.http(address_, std::move(request), timeout,
                [this, done = std::move(done)](HttpResponse response) {
                  track_health(response.status);
                  done(std::move(response));
                });
}

void Transport::send_now(HttpRequest request, Duration timeout, HttpCallback done) {
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
  // A service that refuses requests for their rate works: 429 counts as an answer.
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
  const bool logged_lately = rate_limit_logged_at_ != TimePoint{} &&
                             now() - rate_limit_logged_at_ <= kRateLimitLogInterval;
  if (logged_lately) return;
  rate_limit_logged_at_ = now();
  log::info("state service rate limit reached: {} requests refused since the start", rate_limited_);
}

bool Transport::seems_down() const {
  return failing_since_ != TimePoint{} && now() - failing_since_ > kDownAfter;
}

bool Transport::answered_within(Duration within) const {
  return last_answer_ != TimePoint{} && now() - last_answer_ < within;
}

}  // namespace asterstair::store
