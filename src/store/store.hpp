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

/// Timeout of reads, including their time in the queue. Users wait 2 s for the response to
/// a poll, and a read must end before that.
inline constexpr Duration kReadTimeout = 1500ms;

/// Client of the state service. Every node owns one instance, which all its components share.
///
/// It respects the rate limits of the settings and combines writes into one transaction where
/// possible (group commit). A write without a response ends as WriteOutcome::Unknown.
///
/// All functions are asynchronous. Each callback runs exactly once, on the runtime's event loop,
/// and may run before the function returns if the queue is full. The store must outlive the
/// runtime's requests and timers, whose callbacks use it.
class Store {
 public:
  /// Takes the address, the rate limits and the bounds of the queues from the settings.
  Store(Runtime& runtime, const Settings& settings);

  /// Reads one key, within the rate limit. The read fails as Unavailable after `timeout`, or at
  /// once if too many reads are queued.
  void get(const std::string& key, std::function<void(ReadResult)> done,
           Duration timeout = kReadTimeout) {
    reads_.get(key, std::move(done), timeout);
  }

  /// Reads one key at once: the request bypasses the queue and does not wait for the rate limit.
  /// For reads that leadership depends on.
  void get_unqueued(const std::string& key, std::function<void(ReadResult)> done);

  /// Reads all keys with a prefix. The requests bypass the queue and do not wait for the rate
  /// limit.
  void list(const std::string& prefix, std::function<void(ListResult)> done);

  /// Executes a compare-and-swap transaction, within the rate limits. See WriteQueue::write().
  void write(wire::Txn txn, Urgency urgency, std::function<void(WriteResult)> done) {
    writes_.write(std::move(txn), urgency, std::move(done));
  }

  /// Creates a store lease. Keys attached to it are deleted when it is not renewed for `ttl`.
  /// `done` receives its id, or none on failure. Does not wait for the rate limit.
  void create_store_lease(Duration ttl, std::function<void(std::optional<std::uint64_t>)> done);

  /// Renews a store lease. Does not wait for the rate limit.
  void renew_store_lease(std::uint64_t store_lease, std::function<void(StoreLeaseOutcome)> done);

  /// Revokes a store lease, which deletes its keys. The result is not reported: if the request
  /// fails, the store lease expires by itself.
  void revoke_store_lease(std::uint64_t store_lease);

  /// Waits up to `wait` for changes to keys with a prefix after the revision `after`. Does not wait
  /// for the rate limit.
  void watch(const std::string& prefix, std::uint64_t after, Duration wait,
             std::function<void(WatchResult)> done);

  /// Whether requests have failed for more than 2 s and none has been served in that time.
  bool seems_down() const { return transport_.seems_down(); }

  /// Time of the first failure since the last served request; the clock's epoch if there is none.
  TimePoint failing_since() const { return transport_.failing_since(); }

  /// Time of the last served request; the clock's epoch if none has been served.
  TimePoint last_answer() const { return transport_.last_answer(); }

  /// Whether a request was served less than `within` ago.
  bool answered_within(Duration within) const { return transport_.answered_within(within); }

 private:
  Transport transport_;
  ReadQueue reads_;
  WriteQueue writes_;
};

}  // namespace asterstair::store
