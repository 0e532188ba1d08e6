#pragma once
// What operators see of the machine duty and ask of it, straight from the state service: it works
// whatever the nodes do.

#include <functional>
#include <string>
#include <vector>

#include "provisioning/records.hpp"
#include "store/store.hpp"

namespace asterstair::provisioning {

class AdminCommands {
 public:
  // The lines to be shown; `ok` is false if the state service did not answer or refused.
  using Done = std::function<void(bool ok, const std::vector<std::string>& lines)>;

  explicit AdminCommands(store::Store& store) : store_(store) {}

  // Holder, token, what has been asked for, operations, quarantined records, orphans.
  void show(const Done& done);
  void pause(bool paused, const Done& done);
  // Asks the present holder to give the provisioning lease to another node.
  void hand_over(const Done& done);

 private:
  struct State {
    std::vector<wire::Item> lease, control, operation_log, orphans;
  };
  void read(const std::function<void(bool ok, const State&)>& done);
  void write_control(const Control& control, std::uint64_t version, const Done& done);

  store::Store& store_;
};

}  // namespace asterstair::provisioning
