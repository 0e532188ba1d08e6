#include "store/store.hpp"

#include "store/lists.hpp"

namespace asterstair::store {
namespace {

// The limits hold for all nodes together. Each node may use most of them, since load moves
// between nodes; the answer 429 corrects those who meet.
constexpr double kRequestShare = 0.6, kRequestBurst = 0.5;
constexpr double kChangeShare = 0.7;

constexpr auto kStoreLeaseTimeout = 1500ms;
constexpr auto kListTimeout = 3s;
constexpr std::size_t kPageItems = 200;
constexpr int kListRefusalsBorne = 20;
// Of the memory, for the writes of each urgency that wait.
constexpr std::size_t kWritesPartOfMemory = 64;
constexpr auto kWatchExtra = 3s;  // beyond the time that a watch waits

Budget request_budget(const Settings& s) {
  const double rate = s.state_rps * kRequestShare;
  return {rate, rate * kRequestBurst};
}

Budget change_budget(const Settings& s) {
  const double rate = s.state_write_rps * kChangeShare;
  return {rate, rate};
}

}  // namespace

Store::Store(Runtime& runtime, const Settings& s)
    : link_(runtime, s.state_address, request_budget(s)),
      reads_(link_, s.max_connections),
      writes_(link_, change_budget(s), s.txn_ops, s.memory_bytes / kWritesPartOfMemory) {}

void Store::get_now(const std::string& key, std::function<void(ReadResult)> done) {
  link_.send_now(wire::get_request(key), kStoreLeaseTimeout,
                 [done = std::move(done)](const HttpResponse& r) { done(read_result(r)); });
}

void Store::list(const std::string& prefix, std::function<void(ListResult)> done) {
  list_all(link_, {prefix, kPageItems, kListTimeout, kListRefusalsBorne}, std::move(done));
}

void Store::create_store_lease(Duration ttl,
                               std::function<void(std::optional<std::uint64_t>)> done) {
  link_.send_now(wire::create_lease_request(ttl), kStoreLeaseTimeout,
                 [done = std::move(done)](const HttpResponse& r) {
                   if (r.status != 200) {
                     done(std::nullopt);
                     return;
                   }
                   done(decode_or_log("grant", [&] { return wire::decode_store_lease(r.body); }));
                 });
}

void Store::renew_store_lease(std::uint64_t store_lease,
                              std::function<void(StoreLeaseOutcome)> done) {
  link_.send_now(wire::renew_lease_request(store_lease), kStoreLeaseTimeout,
                 [done = std::move(done)](const HttpResponse& r) {
                   done(r.status == 200   ? StoreLeaseOutcome::Alive
                        : r.status == 404 ? StoreLeaseOutcome::Gone
                                          : StoreLeaseOutcome::Unavailable);
                 });
}

void Store::revoke_store_lease(std::uint64_t store_lease) {
  link_.send_now(wire::revoke_lease_request(store_lease), kStoreLeaseTimeout,
                 [](const HttpResponse&) {});
}

void Store::watch(const std::string& prefix, std::uint64_t after, Duration wait,
                  std::function<void(WatchResult)> done) {
  link_.send_watch(
      wire::watch_request(prefix, after, wait), wait + kWatchExtra,
      [done = std::move(done)](const HttpResponse& r) {
        WatchResult out;
        if (r.status == 200) {
          if (auto events = decode_or_log("watch", [&] { return wire::decode_events(r.body); })) {
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
