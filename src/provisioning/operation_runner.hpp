#pragma once
/// @file
/// Executes operations on machines for one term of leadership. Created by ProvisioningController,
/// driven by the autoscaler.

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>

#include "base/runtime.hpp"
#include "base/settings.hpp"
#include "base/stoppable.hpp"
#include "cloud/cloud.hpp"
#include "provisioning/fencing_authority.hpp"
#include "provisioning/operation.hpp"
#include "provisioning/operation_log.hpp"

namespace asterstair::provisioning {

/// Appends each operation to the operation log, repeats its request to the cloud under the same
/// name until the cloud answers, and stores the result. Operations that earlier leaders left
/// Pending are completed first; no other operation begins before.
class OperationRunner : public Stoppable<OperationRunner> {
 public:
  /// Callbacks to the autoscaler. They report operations of earlier leaders like those of this
  /// term.
  struct Events {
    /// An earlier leader is returning, or has returned, these machines: they get no work.
    std::function<void(const Operation&)> on_inherited_return;
    /// A rental has state Granted.
    std::function<void(const Operation&)> on_granted;
    /// A rental has state Refused or Withdrawn.
    std::function<void(const Operation&)> on_not_granted;
    /// A return has state Confirmed.
    std::function<void(const Operation&)> on_returned;
  };

  /// All references must outlive the runner and its callbacks.
  OperationRunner(Runtime& runtime, cloud::Cloud& cloud, const Settings& settings,
                  const FencingAuthority& authority, std::shared_ptr<OperationLog> operation_log);

  /// Reads the operation log and resumes Pending operations. `on_recovered` is called once every
  /// return in the log has been reported.
  void start(Events events, std::function<void()> on_recovered);

  /// Whether an operation may begin now.
  bool may_begin() const;
  /// Begins a rental. Uses one call of the cloud's rate limit; the caller has checked that there is
  /// one, see cloud::Cloud::may_call().
  void rent(const Rental& rental);
  /// Begins a return, with the same use of the rate limit.
  void return_machines(const Returns& returns);

  /// Operations without a result, by name.
  const std::map<std::string, Operation>& pending_operations() const { return pending_; }
  /// Whether a return is without a result.
  bool has_pending_return() const;
  /// Granted machines that are neither in the machine registry nor known to be gone, each with the
  /// name of its operation. The operation log names them until then, so that the next leader learns
  /// of them.
  const std::map<std::string, std::string>& unresolved_machines() const { return unresolved_; }
  /// Tells that the machine is in the machine registry or gone. Removes the operation's record once
  /// all of its machines are resolved.
  void resolve_machine(const std::string& machine);

 private:
  /// Whether a request's call has been taken from the cloud's rate limit already.
  enum class CallBudget {
    Taken,    ///< by the caller
    NotTaken  ///< counts when the request is sent
  };

  void on_log_loaded(const std::vector<Operation>& operations);
  void recover(const Operation& operation);
  void begin(Operation operation);
  void on_appended(const std::string& name, AppendOutcome outcome);
  std::string next_name(char prefix);
  void send(const std::string& name, CallBudget budget);
  void send_later(const std::string& name, Duration delay);
  void send_rental(const Operation& operation);
  void send_return(const Operation& operation);
  void on_rental_answer(const std::string& name, const cloud::Cloud::RentResult& result);
  void on_return_answer(const std::string& name, cloud::Cloud::ReturnOutcome outcome);
  void grant(const std::string& name, const std::vector<std::string>& machines);
  void refuse(const std::string& name);
  void withdraw_or_retry(const std::string& name);
  Operation complete(const std::string& name, OperationState state);
  void track_granted_machines(const Operation& operation);
  void remove_later(const std::string& name);
  static void log_event(std::string_view event, const Operation& operation);

  Runtime& runtime_;
  cloud::Cloud& cloud_;
  const Settings& settings_;
  const FencingAuthority& authority_;
  std::shared_ptr<OperationLog> operation_log_;
  Events events_;
  bool recovered_ = false;   ///< the operation log has been read
  std::uint64_t begun_ = 0;  ///< operations of this term, for their names
  std::map<std::string, Operation> pending_;
  std::set<std::string> inherited_;       ///< Pending ones that earlier leaders began
  std::set<std::string> maybe_executed_;  ///< Pending rentals of which a request was not answered
  std::map<std::string, std::string> unresolved_;
};

}  // namespace asterstair::provisioning
