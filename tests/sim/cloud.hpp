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

/// Counts of the rental and return requests that the cloud has received. Tests check them for stale
/// fencing tokens, repeated requests and returns of machines in use.
struct CloudRequestLog {
  std::uint64_t highest_token = 0;  ///< highest fencing token received
  std::size_t stale = 0;            ///< requests with a lower token than highest_token
  std::size_t rejected = 0;         ///< stale requests that were answered 409
  std::size_t rented = 0;           ///< machines
  /// Returns of one machine by a second operation, and machines returned while they had live tasks.
  std::size_t double_returns = 0, returned_with_work = 0;
  std::map<std::string, std::string> returned_by;  ///< operation by machine
  std::map<std::string, std::size_t> rentals;      ///< number of requests by operation
};

/// Simulated cloud that follows PROTOCOL: machine types, idempotent rental requests, returns, and a
/// stale list of machines. It listens on host "cloud" and starts the workers of booted machines.
class Cloud {
 public:
  /// Listens on `address`.
  Cloud(const Environment& environment, const std::string& address, std::vector<MachinePool> pools);

  /// The workers of all machines that have booted.
  std::vector<std::shared_ptr<Worker>> running_workers() const;
  /// A running worker at random; null if there is none.
  std::shared_ptr<Worker> random_worker() const;
  /// The epochs of the running workers whose tasks use CPUs, by machine.
  std::map<std::string, std::uint32_t> epochs_of_busy_workers() const;
  /// Terminates a machine and removes it, as on a spot reclaim or a machine failure.
  void reclaim(const std::string& id);
  /// The number of machines that are rented, booted or not.
  std::size_t rented_count() const { return machines_.size(); }

  bool outage = false;                ///< every request is answered 503
  bool checks_tokens = false;         ///< rejects requests with a stale fencing token
  std::size_t capacity_refusals = 0;  ///< number of further rentals that are refused
  std::size_t rental_limit = 50;      ///< maximum number of machines per rental
  double list_lag_s = 5;              ///< age of the list of machines
  double boot_failure_rate = 0;       ///< fraction of machines that never boot
  CloudRequestLog requests;           ///< counts of requests received

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
  std::map<std::string, Json> rentals_;           // response body by operation
  std::vector<std::pair<double, Json>> history_;  // recorded machine lists and their times
};

}  // namespace sim
