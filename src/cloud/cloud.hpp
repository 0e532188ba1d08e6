#pragma once
// Client of the cloud: within its call limit, answers told apart from no answer.

#include <functional>
#include <optional>

#include "base/runtime.hpp"
#include "base/settings.hpp"
#include "store/budget.hpp"
#include "wire/cloud.hpp"

namespace asterstair::cloud {

class Cloud {
 public:
  Cloud(Runtime& runtime, const Settings& settings);

  struct RentResult {
    enum class Outcome { Rented, NoCapacity, Refused, Unknown } outcome = Outcome::Unknown;
    std::vector<std::string> machines;
  };

  // Whether a call may be made now; each call uses one.
  bool may_call();
  void machine_types(std::function<void(std::optional<std::vector<MachineType>>)> done);
  void rent(const wire::RentalRequest& request, std::function<void(RentResult)> done);
  // True: the machines and all on them are gone.
  void give_back(const std::vector<std::string>& machines, std::function<void(bool)> done);
  void list(const std::string& after, std::function<void(std::optional<wire::MachinePage>)> done);

 private:
  void call(HttpRequest request, HttpCallback done);

  Runtime& runtime_;
  std::string address_;
  store::Budget calls_;
};

}  // namespace asterstair::cloud
