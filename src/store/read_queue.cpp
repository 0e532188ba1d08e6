#include "store/read_queue.hpp"

#include <algorithm>
#include <memory>

#include "store/lists.hpp"
#include "store/records.hpp"

namespace asterstair::store {
namespace {

constexpr auto kTimeout = 900ms;
constexpr std::size_t kMostInFlight = 16;
constexpr int kMostTries = 3;
// So many reads of live jobs waiting are answered by one list of these, now and then.
constexpr std::size_t kBatchAbove = 24;
constexpr auto kBatchEvery = 400ms, kBatchTimeout = 800ms;
constexpr std::size_t kLargestPage = 1000;

bool is_live_key(const std::string& key) { return key.starts_with(kLivePrefix); }

}  // namespace

ReadResult read_result(const HttpResponse& r) {
  ReadResult out;
  if (r.status == 200) {
    if (auto item = decode_or_log("get", [&] { return wire::decode_item(r.body); })) {
      out.outcome = ReadOutcome::Found;
      out.item = std::move(*item);
    }
  } else if (r.status == 404) {
    if (auto revision = decode_or_log("get", [&] { return wire::decode_revision(r.body); })) {
      out.outcome = ReadOutcome::Missing;
      out.revision = *revision;
    }
  }
  return out;
}

void ReadQueue::Read::answer(const ReadResult& result) const {
  for (const auto& callback : done) callback(result);
}

void ReadQueue::get(const std::string& key, std::function<void(ReadResult)> done,
                    Duration timeout) {
  // A read not yet sent serves everybody who asks meanwhile.
  const auto shared = by_key_.find(key);
  if (shared != by_key_.end()) {
    shared->second->done.push_back(std::move(done));
    return;
  }
  if (reads_.size() >= most_waiting_) {
    done({});
    return;
  }
  reads_.push_back({key, link_.now() + timeout, 0, {}});
  reads_.back().done.push_back(std::move(done));
  by_key_[key] = &reads_.back();
  pump();
}

ReadQueue::Read ReadQueue::take_first() {
  Read read = std::move(reads_.front());
  by_key_.erase(read.key);
  reads_.pop_front();
  return read;
}

void ReadQueue::pump() {
  const auto now = link_.now();
  if (reads_.size() >= kBatchAbove) read_live_batched();
  while (!reads_.empty()) {
    const auto left = reads_.front().give_up - now;
    if (left <= Duration::zero()) {
      take_first().answer({});
      continue;
    }
    if (in_flight_ >= kMostInFlight) {
      wake_.set(left);
      return;
    }
    const auto wait = link_.requests.wait_for(1, now);
    if (wait > Duration::zero()) {
      wake_.set(std::min<Duration>(wait, left));
      return;
    }
    link_.requests.take(1, now);
    send(take_first());
  }
}

void ReadQueue::send(Read read) {
  ++in_flight_;
  ++read.tries;
  auto shared = std::make_shared<Read>(std::move(read));
  const auto timeout = std::min<Duration>(kTimeout, shared->give_up - link_.now());
  link_.send(wire::get_request(shared->key), timeout,
             [this, shared](const HttpResponse& r) { answered(*shared, r); });
}

void ReadQueue::answered(Read& read, const HttpResponse& r) {
  --in_flight_;
  const auto now = link_.now();
  if (r.status == 429) link_.requests.refused(now, kRefusedPause);
  const bool again = r.status == 429 || r.status == 0;
  if (again && now < read.give_up && read.tries < kMostTries) {
    // Later reads of the key may be waiting already.
    reads_.push_front(std::move(read));
    by_key_.emplace(reads_.front().key, &reads_.front());
  } else {
    read.answer(read_result(r));
  }
  pump();
}

void ReadQueue::index() {
  by_key_.clear();
  for (auto& read : reads_) by_key_.emplace(read.key, &read);
}

std::size_t ReadQueue::waiting_for_live(TimePoint now) const {
  return static_cast<std::size_t>(std::count_if(reads_.begin(), reads_.end(), [&](const Read& r) {
    return r.give_up > now && is_live_key(r.key);
  }));
}

std::vector<ReadQueue::Read> ReadQueue::take_waiting_for_live(TimePoint now) {
  std::deque<Read> others;
  std::vector<Read> out;
  for (auto& read : reads_) {
    if (read.give_up > now && is_live_key(read.key)) {
      out.push_back(std::move(read));
    } else {
      others.push_back(std::move(read));
    }
  }
  reads_ = std::move(others);
  index();
  return out;
}

// When users ask about their jobs many times as often, reading them one by one uses up the limits.
// A list sent after the questions came shows every live record as it is then or later, so nobody is
// given an older answer than by a read of his own. What it lacks is missing.
void ReadQueue::read_live_batched() {
  const auto now = link_.now();
  if (batch_in_flight_ || now < next_batch_ || waiting_for_live(now) < kBatchAbove) return;
  batch_in_flight_ = true;
  next_batch_ = now + kBatchEvery;
  auto batch = std::make_shared<std::vector<Read>>(take_waiting_for_live(now));
  list_all(link_, {kLivePrefix, kLargestPage, kBatchTimeout, 1},
           [this, batch](const ListResult& r) {
             batch_in_flight_ = false;
             std::map<std::string_view, const wire::Item*> found;
             for (const auto& item : r.items) found.emplace(item.key, &item);
             for (const auto& read : *batch) {
               const auto it = found.find(read.key);
               if (!r.ok) {
                 read.answer({});
               } else if (it == found.end()) {
                 read.answer({ReadOutcome::Missing, {}, r.revision});
               } else {
                 read.answer({ReadOutcome::Found, *it->second, 0});
               }
             }
             pump();
           });
}

}  // namespace asterstair::store
