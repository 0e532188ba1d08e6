#pragma once
// Client of the state service. Keeps within the rates of the settings, joins writes into
// transactions, and never guesses: an unanswered write is Unknown.

#include <functional>
#include <string>

#include "base/runtime.hpp"
#include "base/settings.hpp"
#include "store/link.hpp"
#include "store/read_queue.hpp"
#include "store/results.hpp"
#include "store/write_queue.hpp"

namespace asterstair::store {

// Users wait 2 s for an answer to a poll: reads are given up before that.
inline constexpr Duration kReadTimeout = 1500ms;

class Store {
 public:
  Store(Runtime& runtime, const Settings& settings);

  void get(const std::string& key, std::function<void(ReadResult)> done,
           Duration timeout = kReadTimeout) {
    reads_.get(key, std::move(done), timeout);
  }
  // The same at once, past the queue and the rate limit: for what leadership depends on.
  void get_now(const std::string& key, std::function<void(ReadResult)> done);
  void list(const std::string& prefix, std::function<void(ListResult)> done);
  void write(wire::Txn txn, Urgency urgency, std::function<void(WriteResult)> done) {
    writes_.write(std::move(txn), urgency, std::move(done));
  }
  void create_store_lease(Duration ttl, std::function<void(std::optional<std::uint64_t>)> done);
  void renew_store_lease(std::uint64_t store_lease, std::function<void(StoreLeaseOutcome)> done);
  void revoke_store_lease(std::uint64_t store_lease);
  void watch(const std::string& prefix, std::uint64_t after, Duration wait,
             std::function<void(WatchResult)> done);

  bool seems_down() const { return link_.seems_down(); }
  TimePoint failing_since() const { return link_.failing_since(); }
  TimePoint last_answer() const { return link_.last_answer(); }
  // Whether a request was answered within the last moments.
  bool answered_within(Duration within) const { return link_.answered_within(within); }

 private:
  Link link_;
  ReadQueue reads_;
  WriteQueue writes_;
};

}  // namespace asterstair::store
