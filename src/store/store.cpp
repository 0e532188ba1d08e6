#include "store/store.hpp"

#include "store/paged_list.hpp"
#include "store/responses.hpp"

namespace asterstair::store {
namespace {

// The rate limits hold for all nodes together. Each node may use most of them, since load moves
// between nodes; the answer 429 slows down nodes that together exceed a limit.
constexpr double kRequestShare = 0.6;
constexpr double kChangeShare = 0.7;
// Burst of requests, in seconds of their rate.
constexpr double kRequestBurst = 0.5;

// Timeout of requests that skip the queues: store leases and reads that leadership depends on.
constexpr auto kUnqueuedTimeout = 1500ms;

constexpr auto kListPageTimeout = 3s;
constexpr std::size_t kListPageSize = 200;
// Lists recover a new leader's state, and without them there is none: a page is retried for 3 s.
constexpr int kListRateLimitRetries = 20;

// Writes that wait may take this part of the memory, for each urgency.
constexpr std::size_t kMemoryPartOfWrites = 64;

// The service answers a watch at the end of its wait; this is the time left for the answer.
constexpr auto kWatchAnswerTimeout = 3s;

TokenBucket request_limit(const Settings& settings) {
  const double rate = settings.state_rps * kRequestShare;
  return {rate, rate * kRequestBurst};
}

TokenBucket change_limit(const Settings& settings) {
  const double rate = settings.state_write_rps * kChangeShare;
  return {rate, rate};
}

}  // namespace

Store::Store(Runtime& runtime, const Settings& settings)
    : transport_(runtime, settings.state_address, request_limit(settings)),
      reads_(transport_, settings.max_connections),
      writes_(transport_, change_limit(settings), settings.txn_ops,
              settings.memory_bytes / kMemoryPartOfWrites) {}

void Store::get_now(const std::string& key, std::function<void(ReadResult)> done) {
  transport_.send_now(wire::get_request(key), kUnqueuedTimeout,
                      [done = std::move(done)](const HttpResponse& response) {
                        done(decode_read_response(response));
                      });
}

void Store::list(const std::string& prefix, std::function<void(ListResult)> done) {
  list_prefix(transport_, {prefix, kListPageSize, kListPageTimeout, kListRateLimitRetries},
              std::move(done));
}

void Store::create_store_lease(Duration ttl,
                               std::function<void(std::optional<std::uint64_t>)> done) {
  transport_.send_now(wire::create_lease_request(ttl), kUnqueuedTimeout,
                      [done = std::move(done)](const HttpResponse& response) {
                        done(decode_lease_creation_response(response));
                      });
}

void Store::renew_store_lease(std::uint64_t store_lease,
                              std::function<void(StoreLeaseOutcome)> done) {
  transport_.send_now(wire::renew_lease_request(store_lease), kUnqueuedTimeout,
                      [done = std::move(done)](const HttpResponse& response) {
                        done(decode_lease_renewal_response(response));
                      });
}

void Store::revoke_store_lease(std::uint64_t store_lease) {
  transport_.send_now(wire::revoke_lease_request(store_lease), kUnqueuedTimeout,
                      [](const HttpResponse&) {});
}

void Store::watch(const std::string& prefix, std::uint64_t after, Duration wait,
                  std::function<void(WatchResult)> done) {
  transport_.send_watch(wire::watch_request(prefix, after, wait), wait + kWatchAnswerTimeout,
                        [done = std::move(done)](const HttpResponse& response) {
                          done(decode_watch_response(response));
                        });
}

}  // namespace asterstair::store
