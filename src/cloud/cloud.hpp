#pragma once
/// @file
/// Client of the cloud's machine API. Owned by Node; used by the operation runner and the
/// autoscaler.

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "base/runtime.hpp"
#include "base/settings.hpp"
#include "store/token_bucket.hpp"
#include "wire/cloud.hpp"

namespace asterstair::cloud {

/// Sends requests within the cloud's rate limit. Distinguishes requests that were not executed from
/// requests with an unknown outcome. Does not retry. Every callback runs exactly once, at the
/// latest after the request timeout. Must outlive the callbacks.
class Cloud {
 public:
  /// Uses the address and the rate limit of the settings.
  Cloud(Runtime& runtime, const Settings& settings);

  /// Result of a rental.
  struct RentResult {
    /// How the request ended.
    enum class Outcome {
      Rented,       ///< some or all of the machines were granted
      NoCapacity,   ///< refused: no capacity, or the request is invalid
      NotExecuted,  ///< rejected by the rate limit or during an outage; not executed
      Unknown       ///< no answer or a malformed one; may have been executed
    };
    /// How the request ended.
    Outcome outcome = Outcome::Unknown;
    std::vector<std::string> machines;  ///< ids of the granted machines, if Rented
  };

  /// Result of a return.
  enum class ReturnOutcome {
    Returned,  ///< the machines are terminated and their data is deleted
    Unknown    ///< any other answer or none; the return may still be executed
  };

  /// Returns whether the rate limit allows a request now.
  bool may_call();
  /// Counts one request against the rate limit. Callers of rent_machines() and return_machines()
  /// call this when they decide on the operation, which may be some time before they send the
  /// request. The other functions count their requests themselves.
  void count_call();

  /// Fetches all machine types; the result is std::nullopt on any failure.
  void fetch_machine_types(std::function<void(std::optional<std::vector<MachineType>>)> done);
  /// Rents machines. Idempotent: the cloud executes requests with the same name only once.
  void rent_machines(const wire::RentalRequest& request, std::function<void(RentResult)> done);
  /// Returns machines. Idempotent; unknown machines are ignored.
  void return_machines(const wire::ReturnRequest& order, std::function<void(ReturnOutcome)> done);
  /// Lists one page of the machines whose ids follow `after`; the result is std::nullopt on any
  /// failure. The list may lag behind the actual state by the list lag in the settings.
  void list_machines(const std::string& after,
                     std::function<void(std::optional<wire::MachinePage>)> done);

 private:
  void send_counted(HttpRequest request, HttpCallback done);
  void send(HttpRequest request, HttpCallback done);

  Runtime& runtime_;
  std::string address_;
  store::TokenBucket rate_limiter_;  ///< for this node's share of the cloud's rate limit
};

}  // namespace asterstair::cloud
