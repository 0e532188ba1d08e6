#include "store/read_queue.hpp"

#include <algorithm>
#include <memory>

#include "base/http_status.hpp"
#include "store/paged_list.hpp"
#include "store/records.hpp"
#include "store/responses.hpp"

namespace asterstair::store {
namespace {

// Timeout of one request. Users wait 2 s for a response, which leaves time for two attempts.
constexpr auto kRequestTimeout = 900ms;
constexpr std::size_t kMaxInFlight = 16;
constexpr int kMaxAttempts = 3;

// Number of queued reads of live job records from which one list replaces them.
constexpr std::size_t kLiveListThreshold = 24;
// Minimum time between two lists of all live records, which are large.
constexpr auto kMinLiveListInterval = 400ms;
constexpr auto kLiveListPageTimeout = 800ms;
constexpr std::size_t kLiveListPageSize = 1000;
constexpr int kMaxLiveListRateLimitRetries = 1;

}  // namespace

void ReadQueue::Read::complete(const ReadResult& result) const {
  for (const auto& callback : callbacks) callback(result);
}

void ReadQueue::get(const std::string& key, std::function<void(ReadResult)> done,
                    Duration timeout) {
  // Joins the queued read of the same key, if there is one.
  const auto shared = by_key_.find(key);
  if (shared != by_key_.end()) {
    shared->second->callbacks.push_back(std::move(done));
    return;
  }
  if (waiting_.size() >= max_waiting_) {
    done({});
    return;
  }
  waiting_.push_back({key, transport_.now() + timeout, 0, {}});
  waiting_.back().callbacks.push_back(std::move(done));
  by_key_[key] = &waiting_.back();
  send_ready();
}

ReadQueue::Read ReadQueue::pop_front() {
  Read read = std::move(waiting_.front());
  by_key_.erase(read.key);
  waiting_.pop_front();
  return read;
}

// Sends the queued reads in order as far as the limits allow, and sets the timer for the rest.
void ReadQueue::send_ready() {
  const auto now = transport_.now();
  if (waiting_.size() >= kLiveListThreshold) list_live_records();
  while (!waiting_.empty()) {
    const auto time_left = waiting_.front().deadline - now;
    if (time_left <= Duration::zero()) {
      pop_front().complete({});
      continue;
    }
    if (in_flight_ >= kMaxInFlight) {
      wake_.set(time_left);
      return;
    }
    const auto wait = transport_.request_limit().time_until_available(1, now);
    if (wait > Duration::zero()) {
      wake_.set(std::min<Duration>(wait, time_left));
      return;
    }
    transport_.request_limit().take(1, now);
    send(pop_front());
  }
}

void ReadQueue::send(Read read) {
  ++in_flight_;
  ++read.attempts;
  auto shared = std::make_shared<Read>(std::move(read));
  const auto timeout = std::min<Duration>(kRequestTimeout, shared->deadline - transport_.now());
  transport_.send(wire::get_request(shared->key), timeout,
                  [this, shared](const HttpResponse& response) { on_response(*shared, response); });
}

void ReadQueue::on_response(Read& read, const HttpResponse& response) {
  --in_flight_;
  const auto now = transport_.now();
  const bool rate_limited = response.status == http_status::kTooManyRequests;
  if (rate_limited) transport_.request_limit().on_rate_limited(now, kRateLimitPause);
  const bool retryable = rate_limited || response.status == http_status::kNoAnswer;
  if (retryable && now < read.deadline && read.attempts < kMaxAttempts) {
    // If a later read of the same key is queued already, new callers keep joining that read.
    waiting_.push_front(std::move(read));
    by_key_.emplace(waiting_.front().key, &waiting_.front());
  } else {
    read.complete(decode_read_response(response));
  }
  send_ready();
}

void ReadQueue::rebuild_index() {
  by_key_.clear();
  for (auto& read : waiting_) by_key_.emplace(read.key, &read);
}

bool ReadQueue::waits_for_live_record(const Read& read, TimePoint now) {
  return read.deadline > now && read.key.starts_with(kLivePrefix);
}

bool ReadQueue::reaches_live_list_threshold(TimePoint now) const {
  const auto count = std::count_if(waiting_.begin(), waiting_.end(), [now](const Read& read) {
    return waits_for_live_record(read, now);
  });
  return static_cast<std::size_t>(count) >= kLiveListThreshold;
}

std::vector<ReadQueue::Read> ReadQueue::pop_reads_of_live_records(TimePoint now) {
  std::deque<Read> others;
  std::vector<Read> popped;
  for (auto& read : waiting_) {
    if (waits_for_live_record(read, now)) {
      popped.push_back(std::move(read));
    } else {
      others.push_back(std::move(read));
    }
  }
  waiting_ = std::move(others);
  rebuild_index();
  return popped;
}

// Serves the queued reads of live records with one list. When users poll their jobs far more often
// than usual, one read per poll would use up the rate limit. The list is requested after the polls
// arrived and shows every live record as of that time or later, so that it is as recent as a read
// of the single key would be. A record that is not in the list does not exist.
void ReadQueue::list_live_records() {
  const auto now = transport_.now();
  if (live_list_in_flight_ || now < next_live_list_at_ || !reaches_live_list_threshold(now)) return;
  live_list_in_flight_ = true;
  next_live_list_at_ = now + kMinLiveListInterval;
  auto reads = std::make_shared<std::vector<Read>>(pop_reads_of_live_records(now));
  list_prefix(transport_,
              {kLivePrefix, kLiveListPageSize, kLiveListPageTimeout, kMaxLiveListRateLimitRetries},
              [this, reads](const ListResult& list) { on_live_list(*reads, list); });
}

void ReadQueue::on_live_list(const std::vector<Read>& reads, const ListResult& list) {
  live_list_in_flight_ = false;
  std::map<std::string_view, const wire::Item*> items;
  for (const auto& item : list.items) items.emplace(item.key, &item);
  for (const auto& read : reads) {
    const auto found = items.find(read.key);
    if (!list.ok) {
      read.complete({});
    } else if (found == items.end()) {
      read.complete({ReadOutcome::Missing, {}, list.revision});
    } else {
      read.complete({ReadOutcome::Found, *found->second, 0});
    }
  }
  send_ready();
}

}  // namespace asterstair::store
