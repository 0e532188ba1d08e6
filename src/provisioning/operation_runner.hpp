#pragma once
// Rents and returns machines for one term of leadership: each operation is made durable before the
// cloud is asked, asked for under its name until it is answered, and its result made durable after.
// What an earlier holder left open is completed first; nothing new is begun before that.

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>

#include "base/runtime.hpp"
#include "base/settings.hpp"
#include "cloud/cloud.hpp"
#include "provisioning/fencing_authority.hpp"
#include "provisioning/operation.hpp"
#include "provisioning/operation_log.hpp"

namespace asterstair::provisioning {

class OperationRunner : public std::enable_shared_from_this<OperationRunner> {
 public:
  // What the term is told of. Operations of earlier holders are told of like its own.
  struct Events {
    // Machines that are being, or were, returned by earlier holders: no work for them.
    std::function<void(const Operation&)> found_return;
    std::function<void(const Operation&)> granted;
    std::function<void(const Operation&)> refused;
    std::function<void(const Operation&)> returned;
  };

  OperationRunner(Runtime& runtime, cloud::Cloud& cloud, const Settings& settings,
                  const FencingAuthority& authority, std::shared_ptr<OperationLog> operation_log);
  // Reads the operation log, and completes what is open. `loaded` is called once all open returns
  // have been told of.
  void start(Events events, std::function<void()> loaded);
  void stop() { stopped_ = true; }

  // Whether an operation may be begun now.
  bool may_begin() const;
  // Each uses a call of the cloud's limit, which the caller has seen to be free.
  void rent(const Rental& rental);
  void give_back(const Returns& returns);

  // Operations that the cloud has not answered yet.
  const std::map<std::string, Operation>& open() const { return open_; }
  bool returning() const;
  // Granted machines that are neither on the machine registry nor known to be gone.
  const std::map<std::string, std::string>& unsettled() const { return unsettled_; }
  // The machine is on the machine registry, or gone: the operation log need not name it any more.
  void settle(const std::string& machine);

 private:
  void on_loaded(const std::vector<Operation>& operations);
  void adopt(const Operation& operation);
  void begin(Operation operation);
  std::string next_name(char prefix);
  void send(const std::string& name, bool counted);
  void send_later(const std::string& name, Duration delay);
  void send_rental(const Operation& operation);
  void send_return(const Operation& operation);
  void rental_answered(const std::string& name, const cloud::Cloud::RentResult& result);
  void return_answered(const std::string& name, cloud::Cloud::ReturnOutcome outcome);
  void withdraw_or_repeat(const std::string& name);
  Operation finish(const std::string& name, OperationState state);
  void keep_granted(const Operation& operation);
  void remove_later(const std::string& name);
  static void log_event(std::string_view event, const Operation& operation);

  Runtime& runtime_;
  cloud::Cloud& cloud_;
  const Settings& settings_;
  const FencingAuthority& authority_;
  std::shared_ptr<OperationLog> operation_log_;
  Events events_;
  bool stopped_ = false, loaded_ = false;
  std::uint64_t begun_ = 0;
  std::map<std::string, Operation> open_;
  std::set<std::string> inherited_;   // open ones that an earlier holder began
  std::set<std::string> unanswered_;  // a try of these got no answer: it may be carried out late
  std::map<std::string, std::string> unsettled_;  // operation by machine
};

}  // namespace asterstair::provisioning
