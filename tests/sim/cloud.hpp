#pragma once
// Simulated cloud provider.

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "sim/environment.hpp"
#include "sim/json.hpp"
#include "sim/machine.hpp"
#include "sim/worker.hpp"

namespace sim {

/// Machines of one type that the cloud can rent out in one zone.
struct MachinePool {
  MachineShape shape;
  std::string zone;
  bool spot;
  std::size_t count;
};

/// What the cloud has seen of rentals and returns, for checks of who requests them.
struct CloudRequestLog {
  std::uint64_t highest_token = 0;
  std::size_t stale = 0;     ///< requests with a lower token than one seen before
  std::size_t rejected = 0;  ///< of these, by a cloud that checks the token
  std::size_t rented = 0;    ///< machines
  std::size_t double_returns = 0, returned_with_work = 0;
  std::map<std::string, std::string> returned_by;  ///< operation by machine
  std::map<std::string, std::size_t> rentals;      ///< number of requests by operation
};

/// Simulated cloud, written from PROTOCOL: machine types, rentals by idempotent requests, returns,
/// and a list of machines that lags. It listens on host "cloud" and boots the machines' workers.
class Cloud {
 public:
  Cloud(const Environment& environment, const std::string& address, std::vector<MachinePool> pools);

  /// The workers of all machines that have booted.
  std::vector<std::shared_ptr<Worker>> running_workers() const;
  /// A running worker at random; null if there is none.
  std::shared_ptr<Worker> random_worker() const;
  /// The epochs, by machine, of the running workers on which tasks use processors.
  std::map<std::string, std::uint32_t> epochs_of_busy_workers() const;
  /// Takes a machine away, as spot machines are reclaimed and machines fail.
  void reclaim(const std::string& id);
  std::size_t rented_count() const { return machines_.size(); }

  bool outage = false;                ///< everything is answered 503
  bool checks_tokens = false;         ///< rejects requests with a stale fencing token
  std::size_t capacity_refusals = 0;  ///< so many further rentals are refused
  std::size_t rental_limit = 50;      ///< machines that one rental brings at the most
  double list_lag_s = 5;              ///< age of the list of machines
  double boot_failure_rate = 0;       ///< share of machines that never boot
  CloudRequestLog requests;

 private:
  struct Machine {
    std::size_t pool = 0;
    std::string address;
    double rented_at = 0;
    std::shared_ptr<Worker> worker;
  };

  void serve(const HttpRequest& request, const Respond& respond);
  Json machine_types() const;
  Json machine_list() const;
  Json lagging_list();
  bool token_accepted(const Json& body, const Respond& respond);
  void return_machine(const std::string& id, const std::string& operation);
  void rent(const Json& body, const Respond& respond);
  std::size_t pool_of(const Json& body) const;
  std::size_t machines_of(std::size_t pool) const;
  std::string add_machine(std::size_t pool);
  void boot(const std::string& id);

  const Environment environment_;
  std::vector<MachinePool> pools_;
  unsigned last_machine_ = 0;
  std::map<std::string, Machine> machines_;
  std::map<std::string, Json> rentals_;           // answer by operation
  std::vector<std::pair<double, Json>> history_;  // lists of machines by time
};

}  // namespace sim
