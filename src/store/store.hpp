#pragma once
/// @file
/// Client of the state service, a consensus-backed key-value store.

#include <functional>
#include <optional>
#include <string>

#include "base/runtime.hpp"
#include "base/settings.hpp"
#include "store/read_queue.hpp"
#include "store/results.hpp"
#include "store/transport.hpp"
#include "store/write_queue.hpp"

namespace asterstair::store {

/// Queue timeout of reads. Users wait 2 s for an answer to a poll: reads are given up before that.
inline constexpr Duration kReadTimeout = 1500ms;

/// Client of the state service. Every node owns one, and all its parts share it.
///
/// It keeps within the rate limits of the settings and joins writes into one transaction where it
/// can (group commit). It never guesses: an unanswered write is WriteOutcome::Unknown.
///
/// All functions return at once; each callback runs exactly once, on the runtime's loop, and may
/// run before the function returns if the request is refused. The store must outlive the runtime's
/// requests and timers, whose callbacks use it.
class Store {
 public:
  /// Reads the address, the rate limits and the bounds of the queues from the settings.
  Store(Runtime& runtime, const Settings& settings);

  /// Reads one key, within the rate limit. The read fails as Unavailable after `timeout`, and at
  /// once if too many reads wait.
  void get(const std::string& key, std::function<void(ReadResult)> done,
           Duration timeout = kReadTimeout) {
    reads_.get(key, std::move(done), timeout);
  }

  /// Reads one key at once, past the queue and the rate limit. For reads that leadership depends
  /// on.
  void get_now(const std::string& key, std::function<void(ReadResult)> done);

  /// Reads all keys with a prefix, past the queue and the rate limit.
  void list(const std::string& prefix, std::function<void(ListResult)> done);

  /// Carries out a compare-and-swap transaction, within the rate limits. See WriteQueue::write().
  void write(wire::Txn txn, Urgency urgency, std::function<void(WriteResult)> done) {
    writes_.write(std::move(txn), urgency, std::move(done));
  }

  /// Creates a store lease: keys attached to it are deleted when it is not renewed for `ttl`.
  /// `done` gets its number, or none on failure. Ignores the rate limit.
  void create_store_lease(Duration ttl, std::function<void(std::optional<std::uint64_t>)> done);

  /// Renews a store lease. Ignores the rate limit.
  void renew_store_lease(std::uint64_t store_lease, std::function<void(StoreLeaseOutcome)> done);

  /// Revokes a store lease, which deletes its keys. Nobody learns whether it succeeded; otherwise
  /// the store lease expires.
  void revoke_store_lease(std::uint64_t store_lease);

  /// Waits up to `wait` for changes to keys with a prefix after the revision `after`.
  void watch(const std::string& prefix, std::uint64_t after, Duration wait,
             std::function<void(WatchResult)> done);

  /// Whether requests have failed for more than 2 s with none served in between.
  bool seems_down() const { return transport_.seems_down(); }

  /// Start of the current series of failed requests; the epoch if the last request was served.
  TimePoint failing_since() const { return transport_.failing_since(); }

  /// Time of the last request that was served; the epoch if none was.
  TimePoint last_answer() const { return transport_.last_answer(); }

  /// Whether a request was served less than `within` ago.
  bool answered_within(Duration within) const { return transport_.answered_within(within); }

 private:
  Transport transport_;
  ReadQueue reads_;
  WriteQueue writes_;
};

}  // namespace asterstair::store
