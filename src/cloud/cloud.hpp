#pragma once
// Client of the cloud: within its call limit, answers told apart from no answer.

#include <functional>
#include <optional>

#include "base/runtime.hpp"
#include "base/settings.hpp"
#include "store/token_bucket.hpp"
#include "wire/cloud.hpp"

namespace asterstair::cloud {

class Cloud {
 public:
  Cloud(Runtime& runtime, const Settings& settings);

  struct RentResult {
    enum class Outcome { Rented, NoCapacity, NotExecuted, Unknown } outcome = Outcome::Unknown;
    std::vector<std::string> machines;
  };

  enum class ReturnOutcome { Gone, Unknown };

  // Whether a call may be made now; each call uses one. Those for rentals and returns are counted
  // by the caller when it decides on them: they may be sent some time later.
  bool may_call();
  void count_call();
  void machine_types(std::function<void(std::optional<std::vector<MachineType>>)> done);
  void rent_machines(const wire::RentalRequest& request, std::function<void(RentResult)> done);
  // Gone: the machines and all on them.
  void return_machines(const wire::ReturnOrder& order, std::function<void(ReturnOutcome)> done);
  void list(const std::string& after, std::function<void(std::optional<wire::MachinePage>)> done);

 private:
  void call(HttpRequest request, HttpCallback done);
  void send(HttpRequest request, HttpCallback done);

  Runtime& runtime_;
  std::string address_;
  store::TokenBucket calls_;
};

}  // namespace asterstair::cloud
