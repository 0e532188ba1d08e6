#include "store/store.hpp"

#include "store/lists.hpp"

namespace asterstair::store {
namespace {

// The limits hold for all nodes together. Each node may use most of them, since load moves
// between nodes; the answer 429 corrects those who meet.
constexpr double kRequestShare = 0.6, kRequestBurst = 0.5;
constexpr double kChangeShare = 0.7;

constexpr auto kGrantTimeout = 1500ms;
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
  link_.send_now(wire::get_request(key), kGrantTimeout,
                 [done = std::move(done)](const HttpResponse& r) { done(read_result(r)); });
}

void Store::list(const std::string& prefix, std::function<void(ListResult)> done) {
  list_all(link_, {prefix, kPageItems, kListTimeout, kListRefusalsBorne}, std::move(done));
}

void Store::create_grant(Duration ttl, std::function<void(std::optional<std::uint64_t>)> done) {
  link_.send_now(wire::grant_request(ttl), kGrantTimeout,
                 [done = std::move(done)](const HttpResponse& r) {
                   if (r.status != 200) {
                     done(std::nullopt);
                     return;
                   }
                   done(decode_or_log("grant", [&] { return wire::decode_grant(r.body); }));
                 });
}

void Store::touch_grant(std::uint64_t grant, std::function<void(GrantOutcome)> done) {
  link_.send_now(wire::touch_request(grant), kGrantTimeout,
                 [done = std::move(done)](const HttpResponse& r) {
                   done(r.status == 200   ? GrantOutcome::Alive
                        : r.status == 404 ? GrantOutcome::Gone
                                          : GrantOutcome::Unavailable);
                 });
}

void Store::drop_grant(std::uint64_t grant) {
  link_.send_now(wire::drop_grant_request(grant), kGrantTimeout, [](const HttpResponse&) {});
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
