#pragma once
/// @file
/// Executes operations on machines for one term of leadership. Created by ProvisioningController;
/// used by the autoscaler.

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
/// name until the cloud answers, and stores the result. Pending operations of earlier leaders are
/// completed before a new operation begins.
class OperationRunner : public Stoppable<OperationRunner> {
 public:
  /// Callbacks to the autoscaler. They report operations of earlier leaders as well as those of
  /// this term.
  struct Events {
    /// An earlier leader has begun to return these machines, or has returned them: they get no
    /// work.
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
  /// Begins a rental. Takes one call from the cloud's rate limit; the caller has checked that one
  /// is available, see cloud::Cloud::may_call().
  void rent(const Rental& rental);
  /// Begins a return. Takes one call from the rate limit in the same way.
  void return_machines(const Returns& returns);

  /// Operations that have no result yet, by name.
  const std::map<std::string, Operation>& pending_operations() const { return pending_; }
  /// Whether any return has no result yet.
  bool has_pending_return() const;
  /// Granted machines that may exist and are not in the machine registry yet, each with the name of
  /// its operation. The operation stays in the operation log, so that the next leader knows of
  /// them.
  const std::map<std::string, std::string>& unresolved_machines() const { return unresolved_; }
  /// Reports that the machine is in the machine registry or no longer exists. Removes the
  /// operation's record once all its machines are resolved.
  void resolve_machine(const std::string& machine);

 private:
  /// Whether the call of a request has already been taken from the cloud's rate limit.
  enum class CallBudget {
    Taken,    ///< it was taken when the operation began
    NotTaken  ///< it is taken when the request is sent
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
  bool recovered_ = false;         ///< the operation log has been read
  std::uint64_t begun_count_ = 0;  ///< operations begun in this term, for their names
  std::map<std::string, Operation> pending_;
  std::set<std::string> inherited_;       ///< Pending operations that earlier leaders began
  std::set<std::string> maybe_executed_;  ///< Pending operations that may have been executed
  std::map<std::string, std::string> unresolved_;
};

}  // namespace asterstair::provisioning
