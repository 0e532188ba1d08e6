#include "store/store.hpp"

#include "store/paged_list.hpp"
#include "store/responses.hpp"

namespace asterstair::store {
namespace {

// Share of the rate limits that one node may use. The limits apply to all nodes together. Since
// load moves between nodes, each node may use most of a limit; status 429 slows down nodes that
// exceed a limit together.
constexpr double kRequestShare = 0.6;
constexpr double kChangeShare = 0.7;
// Burst of requests, in seconds at the full rate.
constexpr double kRequestBurstSeconds = 0.5;

// Timeout of requests that bypass the queues: store leases, and reads that leadership depends on.
constexpr auto kUnqueuedTimeout = 1500ms;

constexpr auto kListPageTimeout = 3s;
constexpr std::size_t kListPageSize = 200;
// A new leader recovers its state from lists and cannot start without them. With kRateLimitPause
// between the attempts, a page is retried for about 3 s.
constexpr int kMaxListRateLimitRetries = 20;

// The queued writes of each urgency may use the memory limit divided by this number.
constexpr std::size_t kWriteQueueMemoryDivisor = 64;

// Time allowed for the response to a watch after the end of its wait, when the service sends it.
constexpr auto kWatchResponseTimeout = 3s;

TokenBucket request_limit(const Settings& settings) {
  const double rate = settings.state_rps * kRequestShare;
  return {rate, rate * kRequestBurstSeconds};
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
              settings.memory_bytes / kWriteQueueMemoryDivisor) {}

void Store::get_unqueued(const std::string& key, std::function<void(ReadResult)> done) {
  transport_.send_unqueued(wire::get_request(key), kUnqueuedTimeout,
                           [done = std::move(done)](const HttpResponse& response) {
                             done(decode_read_response(response));
                           });
}

void Store::list(const std::string& prefix, std::function<void(ListResult)> done) {
  list_prefix(transport_, {prefix, kListPageSize, kListPageTimeout, kMaxListRateLimitRetries},
              std::move(done));
}

void Store::create_store_lease(Duration ttl,
                               std::function<void(std::optional<std::uint64_t>)> done) {
  transport_.send_unqueued(wire::create_lease_request(ttl), kUnqueuedTimeout,
                           [done = std::move(done)](const HttpResponse& response) {
                             done(decode_lease_creation_response(response));
                           });
}

void Store::renew_store_lease(std::uint64_t store_lease,
                              std::function<void(StoreLeaseOutcome)> done) {
  transport_.send_unqueued(wire::renew_lease_request(store_lease), kUnqueuedTimeout,
                           [done = std::move(done)](const HttpResponse& response) {
                             done(decode_lease_renewal_response(response));
                           });
}

void Store::revoke_store_lease(std::uint64_t store_lease) {
  transport_.send_unqueued(wire::revoke_lease_request(store_lease), kUnqueuedTimeout,
                           [](const HttpResponse&) {});
}

void Store::watch(const std::string& prefix, std::uint64_t after, Duration wait,
                  std::function<void(WatchResult)> done) {
  transport_.send_watch(wire::watch_request(prefix, after, wait), wait + kWatchResponseTimeout,
                        [done = std::move(done)](const HttpResponse& response) {
                          done(decode_watch_response(response));
                        });
}

}  // namespace asterstair::store
