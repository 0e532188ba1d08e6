#include "cloud/cloud.hpp"

#include "base/log.hpp"

namespace asterstair::cloud {
namespace {

constexpr auto kRequestTimeout = 5s;
// Pause after the cloud has rejected a request because of its rate limit, which all nodes share.
constexpr auto kRateLimitPause = 500ms;
// Share of the rate limit that this node uses. The rest is left for recent requests of a previous
// leader, which still count against the limit.
constexpr double kRateShare = 0.8;

constexpr int kOk = 200;
constexpr int kBadRequest = 400;
// Sent by clouds that check fencing tokens and have seen a newer one. The outcome is treated as
// unknown: the new leader completes the operation.
constexpr int kFenced = 409;
constexpr int kTooManyRequests = 429;
constexpr int kUnavailable = 503;

// Returns the result of `decode`, or std::nullopt if it throws.
template <typename Decode>
auto decode_or_nullopt(Decode decode) -> std::optional<decltype(decode())> {
  try {
    return decode();
  } catch (const std::exception& error) {
    log::error("cloud: malformed answer: {}", error.what());
    return std::nullopt;
  }
}

Cloud::RentResult rent_result(const HttpResponse& response) {
  using Outcome = Cloud::RentResult::Outcome;
  switch (response.status) {
    case kOk: {
      auto machines =
          decode_or_nullopt([&] { return wire::decode_rented_machines(response.body); });
      if (!machines) return {Outcome::Unknown, {}};
      return {Outcome::Rented, std::move(*machines)};
    }
    case kUnavailable: {
      const bool no_capacity = response.body.find("capacity") != std::string::npos;
      return {no_capacity ? Outcome::NoCapacity : Outcome::NotExecuted, {}};
    }
    case kTooManyRequests:
      return {Outcome::NotExecuted, {}};
    case kFenced:
      log::error("cloud: a rental was fenced off: {}", response.body);
      return {Outcome::Unknown, {}};
    case kBadRequest:
      log::error("cloud: a rental was rejected as invalid: {}", response.body);
      return {Outcome::NoCapacity, {}};
    default:
      return {Outcome::Unknown, {}};
  }
}

}  // namespace

Cloud::Cloud(Runtime& runtime, const Settings& settings)
    : runtime_(runtime),
      address_(settings.cloud_address),
      rate_limiter_(settings.cloud_rps * kRateShare, settings.cloud_rps) {}

bool Cloud::may_call() {
  return rate_limiter_.time_until_available(1, runtime_.now()) <= Duration::zero();
}

void Cloud::count_call() { rate_limiter_.take_unconditionally(1, runtime_.now()); }

void Cloud::send_counted(HttpRequest request, HttpCallback done) {
  count_call();
  send(std::move(request), std::move(done));
}

void Cloud::send(HttpRequest request, HttpCallback done) {
  runtime_.http(address_, std::move(request), kRequestTimeout,
                [this, done = std::move(done)](HttpResponse response) {
                  if (response.status == kTooManyRequests) {
                    rate_limiter_.on_rate_limited(runtime_.now(), kRateLimitPause);
                  }
                  done(std::move(response));
                });
}

void Cloud::fetch_machine_types(std::function<void(std::optional<std::vector<MachineType>>)> done) {
  send_counted(wire::machine_types_request(),
               [done = std::move(done)](const HttpResponse& response) {
                 if (response.status != kOk) {
                   done(std::nullopt);
                   return;
                 }
                 done(decode_or_nullopt([&] { return wire::decode_machine_types(response.body); }));
               });
}

void Cloud::rent_machines(const wire::RentalRequest& request,
                          std::function<void(RentResult)> done) {
  send(wire::rent_request(request),
       [done = std::move(done)](const HttpResponse& response) { done(rent_result(response)); });
}

void Cloud::return_machines(const wire::ReturnRequest& order,
                            std::function<void(ReturnOutcome)> done) {
  send(wire::return_request(order), [done = std::move(done)](const HttpResponse& response) {
    if (response.status == kFenced) log::error("cloud: a return was fenced off: {}", response.body);
    done(response.status == kOk ? ReturnOutcome::Returned : ReturnOutcome::Unknown);
  });
}

void Cloud::list_machines(const std::string& after,
                          std::function<void(std::optional<wire::MachinePage>)> done) {
  send_counted(wire::list_machines_request(after),
               [done = std::move(done)](const HttpResponse& response) {
                 if (response.status != kOk) {
                   done(std::nullopt);
                   return;
                 }
                 done(decode_or_nullopt([&] { return wire::decode_machines(response.body); }));
               });
}

}  // namespace asterstair::cloud
