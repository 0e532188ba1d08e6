#include "store/store.hpp"

#include <set>

#include "base/log.hpp"
#include "store/records.hpp"

namespace asterstair::store {
namespace {

// The limits hold for all nodes together. Each node may use most of them, since load moves
// between nodes; the answer 429 corrects those who meet.
constexpr double kRequestShare = 0.6;
constexpr double kChangeShare = 0.7;
constexpr auto kRefusedPause = 150ms;

constexpr auto kReadTimeout = 900ms;
constexpr auto kWriteTimeout = 1500ms;
constexpr auto kGrantTimeout = 1500ms;
constexpr auto kWritePatience = 3000ms;  // and 5 s for one to a submission
constexpr std::size_t kMostReads = 400, kMostWrites = 2000;
constexpr std::size_t kReadsInFlight = 16, kWritesInFlight = 4;
constexpr std::size_t kLargestTxn = std::size_t{60} * 1024;
constexpr std::size_t kPageItems = 200, kLargestPage = 1000;
// So many questions about live jobs waiting are answered by one list of these, now and then.
constexpr std::size_t kTogether = 24;
constexpr auto kTogetherEvery = 400ms, kTogetherTimeout = 800ms;
constexpr int kListTries = 20;
constexpr auto kDownAfter = 2s;
constexpr auto kRefusalsToldEvery = 10s;

template <typename F>
auto guarded(const char* what, F decode) -> std::optional<decltype(decode())> {
  try {
    return decode();
  } catch (const std::exception& e) {
    log::error("state service: malformed answer to {}: {}", what, e.what());
    return std::nullopt;
  }
}

}  // namespace

Store::Store(Runtime& runtime, const Settings& s)
    : runtime_(runtime),
      address_(s.state_address),
      txn_ops_(s.txn_ops),
      requests_(s.state_rps * kRequestShare, s.state_rps * kRequestShare * 0.5),
      changes_(s.state_write_rps * kChangeShare, s.state_write_rps * kChangeShare) {}

void Store::note(int status) {
  const auto now = runtime_.now();
  if (status == 429) {
    ++refused_;
    if (refusals_told_at_ == TimePoint{} || now - refusals_told_at_ > kRefusalsToldEvery) {
      refusals_told_at_ = now;
      log::info("the state service's limits are reached: {} requests refused so far", refused_);
    }
  }
  // 429 shows a service that works.
  if (status != 0 && status != 503) {
    last_ok_ = now;
    first_bad_ = {};
  } else if (first_bad_ == TimePoint{}) {
    first_bad_ = now;
  }
}

bool Store::seems_down() const {
  return first_bad_ != TimePoint{} && runtime_.now() - first_bad_ > kDownAfter;
}

bool Store::heard_lately(Duration within) const {
  return last_ok_ != TimePoint{} && runtime_.now() - last_ok_ < within;
}

void Store::wake(Duration delay) {
  const auto at = runtime_.now() + std::max<Duration>(delay, 2ms);
  if (wake_at_ && *wake_at_ <= at) return;
  wake_at_ = at;
  runtime_.after(std::max<Duration>(delay, 2ms), [this, at] {
    if (wake_at_ != at) return;  // an earlier one has been set since, and has looked at everything
    wake_at_.reset();
    pump();
  });
}

void Store::pump() {
  pump_writes();
  pump_reads();
}

void Store::get(const std::string& key, std::function<void(ReadResult)> done, Duration patience) {
  // A read not yet sent serves everybody who asks meanwhile.
  const auto shared = waiting_reads_.find(key);
  if (shared != waiting_reads_.end()) {
    shared->second->done.push_back(std::move(done));
    return;
  }
  if (reads_.size() >= kMostReads) {
    done({});
    return;
  }
  reads_.push_back({key, runtime_.now() + patience, 0, {}});
  reads_.back().done.push_back(std::move(done));
  waiting_reads_[key] = &reads_.back();
  pump_reads();
}

void Store::pump_reads() {
  const auto now = runtime_.now();
  if (reads_.size() >= kTogether) read_live_together();
  while (!reads_.empty()) {
    if (reads_.front().give_up <= now) {
      Read read = std::move(reads_.front());
      waiting_reads_.erase(read.key);
      reads_.pop_front();
      for (auto& done : read.done) done({});
      continue;
    }
    const auto left = reads_.front().give_up - now;
    if (reads_in_flight_ >= kReadsInFlight) {
      wake(left);
      return;
    }
    const auto wait = requests_.wait_for(1, now);
    if (wait > Duration::zero()) {
      wake(std::min<Duration>(wait, left));
      return;
    }
    requests_.take(1, now);
    Read read = std::move(reads_.front());
    waiting_reads_.erase(read.key);
    reads_.pop_front();
    send_read(std::move(read));
  }
}

namespace {

ReadResult read_result(const HttpResponse& r) {
  ReadResult out;
  if (r.status == 200) {
    if (auto item = guarded("get", [&] { return wire::decode_item(r.body); })) {
      out.outcome = ReadOutcome::Found;
      out.item = std::move(*item);
    }
  } else if (r.status == 404) {
    if (auto revision = guarded("get", [&] { return wire::decode_revision(r.body); })) {
      out.outcome = ReadOutcome::Missing;
      out.revision = *revision;
    }
  }
  return out;
}

}  // namespace

void Store::get_now(const std::string& key, std::function<void(ReadResult)> done) {
  requests_.force(1, runtime_.now());
  runtime_.http(address_, wire::get_request(key), kGrantTimeout,
                [this, done = std::move(done)](const HttpResponse& r) {
                  note(r.status);
                  done(read_result(r));
                });
}

void Store::send_read(Read read) {
  ++reads_in_flight_;
  ++read.tries;
  auto shared = std::make_shared<Read>(std::move(read));
  const auto timeout = std::min<Duration>(kReadTimeout, shared->give_up - runtime_.now());
  runtime_.http(address_, wire::get_request(shared->key), timeout, [this, shared](HttpResponse r) {
    --reads_in_flight_;
    note(r.status);
    const auto now = runtime_.now();
    if (r.status == 429) requests_.refused(now, kRefusedPause);
    const ReadResult out = read_result(r);
    if ((r.status == 429 || r.status == 0) && now < shared->give_up && shared->tries < 3) {
      // Later reads of the key may be waiting already; deque entries keep their addresses at
      // either end.
      reads_.push_front(std::move(*shared));
      waiting_reads_.emplace(reads_.front().key, &reads_.front());
      pump();
      return;
    }
    for (auto& done : shared->done) done(out);
    pump();
  });
}

// When users ask about their jobs many times as often, reading them one by one uses up the limits.
// A list sent after the questions came shows every live record as it is then or later, so nobody is
// given an older answer than by a read of his own. What it lacks is missing.
void Store::read_live_together() {
  const auto now = runtime_.now();
  if (together_in_flight_ || now < next_together_) return;
  std::deque<Read> others;
  auto together = std::make_shared<std::vector<Read>>();
  for (auto& read : reads_) {
    const bool live = read.key.starts_with(kLivePrefix) && read.give_up > now;
    if (live) {
      together->push_back(std::move(read));
    } else {
      others.push_back(std::move(read));
    }
  }
  reads_ = std::move(others);
  waiting_reads_.clear();
  for (auto& read : reads_) waiting_reads_.emplace(read.key, &read);
  if (together->size() < kTogether) {
    for (auto& read : *together) {
      reads_.push_back(std::move(read));
      waiting_reads_.emplace(reads_.back().key, &reads_.back());
    }
    return;
  }
  together_in_flight_ = true;
  next_together_ = now + kTogetherEvery;
  list_page({kLivePrefix, kLargestPage, kTogetherTimeout, 1}, "", 0, std::make_shared<ListResult>(),
            [this, together](const ListResult& r) {
              together_in_flight_ = false;
              std::map<std::string_view, const wire::Item*> found;
              for (const auto& item : r.items) found.emplace(item.key, &item);
              for (auto& read : *together) {
                ReadResult out;
                const auto it = found.find(read.key);
                if (r.ok && it != found.end()) {
                  out = {ReadOutcome::Found, *it->second, 0};
                } else if (r.ok) {
                  out = {ReadOutcome::Missing, {}, r.revision};
                }
                for (auto& done : read.done) done(out);
              }
              pump();
            });
}

void Store::list(const std::string& prefix, std::function<void(ListResult)> done) {
  list_page({prefix, kPageItems, 3s, kListTries}, "", 0, std::make_shared<ListResult>(),
            std::move(done));
}

void Store::list_page(const ListRequest& request, const std::string& after, int tries,
                      const std::shared_ptr<ListResult>& so_far,
                      std::function<void(ListResult)> done) {
  requests_.force(1, runtime_.now());
  runtime_.http(
      address_, wire::list_keys_request(request.prefix, after, request.page), request.timeout,
      [this, request, after, tries, so_far, done = std::move(done)](HttpResponse r) mutable {
        note(r.status);
        if (r.status == 200) {
          if (auto page = guarded("list", [&] { return wire::decode_items(r.body); })) {
            if (so_far->revision == 0) so_far->revision = page->revision;
            for (auto& item : page->items) so_far->items.push_back(std::move(item));
            if (page->more && !so_far->items.empty()) {
              const std::string last = so_far->items.back().key;
              list_page(request, last, 0, so_far, std::move(done));
              return;
            }
            so_far->ok = true;
            done(std::move(*so_far));
            return;
          }
        }
        if (r.status == 429 && tries < request.tries) {
          runtime_.after(kRefusedPause,
                         [this, request, after, tries, so_far, done = std::move(done)]() mutable {
                           list_page(request, after, tries + 1, so_far, std::move(done));
                         });
          return;
        }
        done({});
      });
}

void Store::write(wire::Txn txn, Urgency urgency, std::function<void(WriteResult)> done) {
  auto& queue = writes_[static_cast<std::size_t>(urgency)];
  if (queue.size() >= kMostWrites) {
    done({});
    return;
  }
  Write w;
  for (const auto& c : txn.changes) w.size += wire::change_size(c);
  for (const auto& c : txn.conditions) w.size += c.key.size() + 40;
  w.txn = std::move(txn);
  w.give_up = runtime_.now() + kWritePatience;
  w.done = std::move(done);
  queue.push_back(std::move(w));
  // Writes asked for in the same turn of the loop travel together.
  wake(Duration::zero());
}

void Store::pump_writes() {
  const auto now = runtime_.now();
  for (std::size_t u = 0; u < std::size(writes_); ++u) {
    auto& queue = writes_[u];
    while (!queue.empty()) {
      if (queue.front().give_up <= now) {
        Write w = std::move(queue.front());
        queue.pop_front();
        w.done({});
        continue;
      }
      if (writes_in_flight_ >= kWritesInFlight) return;
      // Join what fits: no two entries may touch a key that the other changes.
      Batch batch;
      std::size_t ops = 0, size = 0, taken = 0;
      std::map<std::string, std::uint64_t> conditions;
      std::set<std::string> changed;
      for (const auto& w : queue) {
        const bool first = taken == 0;
        if (!first) {
          if (w.alone || queue.front().alone) break;
          bool clash = ops + w.txn.changes.size() > txn_ops_ || size + w.size > kLargestTxn ||
                       conditions.size() + w.txn.conditions.size() > 4 * txn_ops_;
          for (const auto& c : w.txn.conditions) {
            const auto it = conditions.find(c.key);
            clash = clash || changed.count(c.key) != 0 ||
                    (it != conditions.end() && it->second != c.version);
          }
          for (const auto& c : w.txn.changes) {
            clash = clash || changed.count(c.key) != 0 || conditions.count(c.key) != 0;
          }
          if (clash) break;
        }
        for (const auto& c : w.txn.conditions) conditions[c.key] = c.version;
        for (const auto& c : w.txn.changes) changed.insert(c.key);
        ops += w.txn.changes.size();
        size += w.size;
        ++taken;
      }
      const auto wait =
          std::max(requests_.wait_for(1, now), changes_.wait_for(static_cast<double>(ops), now));
      if (wait > Duration::zero()) {
        wake(wait);
        return;
      }
      requests_.take(1, now);
      changes_.take(static_cast<double>(ops), now);
      for (std::size_t i = 0; i < taken; ++i) {
        batch.push_back(std::move(queue.front()));
        queue.pop_front();
      }
      send_batch(u, std::move(batch));
    }
  }
}

void Store::send_batch(std::size_t urgency, Batch batch) {
  ++writes_in_flight_;
  wire::Txn joined;
  std::set<std::string> seen;
  for (const auto& w : batch) {
    for (const auto& c : w.txn.conditions) {
      if (seen.insert(c.key).second) joined.conditions.push_back(c);
    }
    for (const auto& c : w.txn.changes) joined.changes.push_back(c);
  }
  auto shared = std::make_shared<Batch>(std::move(batch));
  runtime_.http(
      address_, wire::txn_request(joined), kWriteTimeout, [this, urgency, shared](HttpResponse r) {
        --writes_in_flight_;
        note(r.status);
        const auto now = runtime_.now();
        WriteResult out{WriteOutcome::Unknown, 0};
        if (r.status == 200) {
          if (auto revision = guarded("txn", [&] { return wire::decode_revision(r.body); })) {
            out = {WriteOutcome::Committed, *revision};
          }
        } else if (r.status == 409) {
          const auto failed = guarded("txn", [&] { return wire::decode_failed(r.body); });
          const std::set<std::string> keys =
              failed ? std::set<std::string>(failed->begin(), failed->end())
                     : std::set<std::string>();
          Batch conflicted;
          for (auto it = shared->rbegin(); it != shared->rend(); ++it) {
            bool mine = shared->size() == 1;
            for (const auto& c : it->txn.conditions) mine = mine || keys.count(c.key) != 0;
            if (mine) {
              conflicted.push_back(std::move(*it));
            } else {
              // Failed only for another's condition: nothing of it was carried out.
              it->alone = true;
              writes_[urgency].push_front(std::move(*it));
            }
          }
          for (auto& w : conflicted) w.done({WriteOutcome::Conflict, 0});
          pump();
          return;
        } else if (r.status == 429) {
          changes_.refused(now, kRefusedPause);
          for (auto it = shared->rbegin(); it != shared->rend(); ++it) {
            writes_[urgency].push_front(std::move(*it));
          }
          pump();
          return;
        } else if (r.status == 503 || r.status == 400) {
          if (r.status == 400) log::error("state service refused a transaction: {}", r.body);
          out.outcome = WriteOutcome::NotDone;
        }
        for (auto& w : *shared) w.done(out);
        pump();
      });
}

void Store::create_grant(Duration ttl, std::function<void(std::optional<std::uint64_t>)> done) {
  requests_.force(1, runtime_.now());
  runtime_.http(address_, wire::grant_request(ttl), kGrantTimeout,
                [this, done = std::move(done)](HttpResponse r) {
                  note(r.status);
                  if (r.status == 200) {
                    done(guarded("grant", [&] { return wire::decode_grant(r.body); }));
                  } else {
                    done(std::nullopt);
                  }
                });
}

void Store::touch_grant(std::uint64_t grant, std::function<void(GrantOutcome)> done) {
  requests_.force(1, runtime_.now());
  runtime_.http(address_, wire::touch_request(grant), kGrantTimeout,
                [this, done = std::move(done)](const HttpResponse& r) {
                  note(r.status);
                  done(r.status == 200   ? GrantOutcome::Alive
                       : r.status == 404 ? GrantOutcome::Gone
                                         : GrantOutcome::Unavailable);
                });
}

void Store::drop_grant(std::uint64_t grant) {
  requests_.force(1, runtime_.now());
  runtime_.http(address_, wire::drop_grant_request(grant), kGrantTimeout,
                [this](const HttpResponse& r) { note(r.status); });
}

void Store::watch(const std::string& prefix, std::uint64_t after, Duration wait,
                  std::function<void(WatchResult)> done) {
  requests_.force(1, runtime_.now());
  runtime_.http(
      address_, wire::watch_request(prefix, after, wait), wait + 3s,
      [this, done = std::move(done)](const HttpResponse& r) {
        // Open watches wait silently through an outage; only answers count.
        if (r.status != 0) note(r.status);
        WatchResult out;
        if (r.status == 200) {
          if (auto events = guarded("watch", [&] { return wire::decode_events(r.body); })) {
            out.outcome = WatchResult::Outcome::Events;
            out.events = std::move(*events);
          }
        } else if (r.status == 410) {
          out.outcome = WatchResult::Outcome::TooOld;
        }
        done(std::move(out));
      });
}

}  // namespace asterstair::store
