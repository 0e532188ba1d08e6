#pragma once
/// @file
/// Client of the cloud's interface for machines. Owned by Node; used by the operation runner and
/// the autoscaler.

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "base/runtime.hpp"
#include "base/settings.hpp"
#include "store/token_bucket.hpp"
#include "wire/cloud.hpp"

namespace asterstair::cloud {

/// Sends requests within the cloud's rate limit. Tells a request that was certainly not executed
/// from one with an unknown outcome. Does not retry. Every callback runs exactly once, at the
/// latest after the request timeout. Must outlive the callbacks.
class Cloud {
 public:
  /// Uses the address and the rate limit of the settings.
  Cloud(Runtime& runtime, const Settings& settings);

  /// Answer to a rental.
  struct RentResult {
    /// How the request ended.
    enum class Outcome {
      Rented,       ///< some or all machines were granted
      NoCapacity,   ///< refused: no capacity, or the request is not valid
      NotExecuted,  ///< rejected by the rate limit or in an outage: certainly not executed
      Unknown       ///< no answer or an unreadable one: may have been executed
    };
    /// How the request ended.
    Outcome outcome = Outcome::Unknown;
    std::vector<std::string> machines;  ///< for Rented: ids of the granted machines
  };

  /// Answer to a return.
  enum class ReturnOutcome {
    Gone,    ///< the machines and everything on them are gone
    Unknown  ///< any other answer or none: the return may yet be executed
  };

  /// Whether the rate limit allows a call now.
  bool may_call();
  /// Takes one call from the rate limit. Callers of rent_machines() and return_machines() do this
  /// when they decide on the operation, which may be some time before they send it. The other
  /// requests count themselves.
  void count_call();

  /// Fetches all machine types; nothing on any failure.
  void fetch_machine_types(std::function<void(std::optional<std::vector<MachineType>>)> done);
  /// Rents machines. Idempotent by the request's name.
  void rent_machines(const wire::RentalRequest& request, std::function<void(RentResult)> done);
  /// Returns machines. Repeating a return, or naming unknown machines, has no effect.
  void return_machines(const wire::ReturnOrder& order, std::function<void(ReturnOutcome)> done);
  /// Lists one page of machines whose ids come after `after`; nothing on any failure. The list may
  /// lag by the settings' list lag.
  void list_machines(const std::string& after,
                     std::function<void(std::optional<wire::MachinePage>)> done);

 private:
  void send_counted(HttpRequest request, HttpCallback done);
  void send(HttpRequest request, HttpCallback done);

  Runtime& runtime_;
  std::string address_;
  store::TokenBucket calls_;  ///< this node's share of the rate limit
};

}  // namespace asterstair::cloud
