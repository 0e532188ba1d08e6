#include "store/link.hpp"

#include "base/log.hpp"

namespace asterstair::store {
namespace {

constexpr auto kDownAfter = 2s;
constexpr auto kRefusalsToldEvery = 10s;

}  // namespace

void Link::send(HttpRequest request, Duration timeout, HttpCallback done) {
  runtime_.http(address_, std::move(request), timeout,
                [this, done = std::move(done)](HttpResponse r) {
                  note(r.status);
                  done(std::move(r));
                });
}

void Link::send_now(HttpRequest request, Duration timeout, HttpCallback done) {
  requests.force(1, now());
  send(std::move(request), timeout, std::move(done));
}

void Link::send_watch(HttpRequest request, Duration timeout, HttpCallback done) {
  requests.force(1, now());
  runtime_.http(address_, std::move(request), timeout,
                [this, done = std::move(done)](HttpResponse r) {
                  if (r.status != 0) note(r.status);
                  done(std::move(r));
                });
}

void Link::note(int status) {
  if (status == 429) note_refusal();
  // 429 shows a service that works.
  if (status != 0 && status != 503) {
    last_answer_ = now();
    failing_since_ = {};
  } else if (failing_since_ == TimePoint{}) {
    failing_since_ = now();
  }
}

void Link::note_refusal() {
  ++refused_;
  if (refusals_told_at_ != TimePoint{} && now() - refusals_told_at_ <= kRefusalsToldEvery) return;
  refusals_told_at_ = now();
  log::info("the state service's limits are reached: {} requests refused so far", refused_);
}

bool Link::seems_down() const {
  return failing_since_ != TimePoint{} && now() - failing_since_ > kDownAfter;
}

bool Link::answered_within(Duration within) const {
  return last_answer_ != TimePoint{} && now() - last_answer_ < within;
}

}  // namespace asterstair::store
