#include "provisioning/operation_runner.hpp"

#include <algorithm>

#include "base/log.hpp"

namespace asterstair::provisioning {
namespace {

// Delay before the next attempt to send while the lease is not valid or the cloud's rate limit is
// reached.
constexpr auto kSendRetryDelay = 500ms;
// Delay before the request of a rental, or of a return, that has no result yet is sent again.
constexpr auto kRentalRetryDelay = 2s;
constexpr auto kReturnRetryDelay = 1s;
// The record of a confirmed return is kept for as long as the cloud's lists may still show the
// machines: a multiple of the list lag, plus a margin. Without the record, a new leader would take
// such machines for orphaned instances.
constexpr int kConfirmedReturnListLags = 3;
constexpr auto kConfirmedReturnMargin = 60s;

}  // namespace

OperationRunner::OperationRunner(Runtime& runtime, cloud::Cloud& cloud, const Settings& settings,
                                 const FencingAuthority& authority,
                                 std::shared_ptr<OperationLog> operation_log)
    : runtime_(runtime),
      cloud_(cloud),
      settings_(settings),
      authority_(authority),
      operation_log_(std::move(operation_log)) {}

void OperationRunner::start(Events events, std::function<void()> on_recovered) {
  events_ = std::move(events);
  operation_log_->load(
      while_running([on_recovered = std::move(on_recovered)](
                        OperationRunner& self, const std::vector<Operation>& operations) {
        self.on_log_loaded(operations);
        on_recovered();
      }));
}

void OperationRunner::on_log_loaded(const std::vector<Operation>& operations) {
  recovered_ = true;
  for (const auto& operation : operations) recover(operation);
}

// Resumes an operation that an earlier leader began, or reports its result.
void OperationRunner::recover(const Operation& operation) {
  if (operation.kind == OperationKind::Return) events_.on_inherited_return(operation);
  if (operation.state == OperationState::Pending) {
    log_event("resumed", operation);
    pending_[operation.name] = operation;
    inherited_.insert(operation.name);
    maybe_executed_.insert(operation.name);
    send(operation.name, CallBudget::NotTaken);
  } else if (operation.state == OperationState::Granted) {
    events_.on_granted(operation);
    track_granted_machines(operation);
  } else if (operation.state == OperationState::Confirmed) {
    events_.on_returned(operation);
    remove_later(operation.name);
  } else if (is_final(operation.state)) {
    operation_log_->remove(operation.name);
  }
}

bool OperationRunner::may_begin() const {
  return recovered_ && inherited_.empty() && authority_.lease_valid() && !authority_.paused() &&
         operation_log_->has_room();
}

bool OperationRunner::has_pending_return() const {
  return std::any_of(pending_.begin(), pending_.end(),
                     [](const auto& entry) { return entry.second.kind == OperationKind::Return; });
}

// The fencing token and a counter make the name unique over all nodes and terms.
std::string OperationRunner::next_name(char prefix) {
  return std::string(1, prefix) + "-" + std::to_string(authority_.token()) + "-" +
         std::to_string(++begun_count_);
}

void OperationRunner::rent(const Rental& rental) {
  Operation operation;
  operation.name = next_name('r');
  operation.kind = OperationKind::Rent;
  operation.rental = rental;
  begin(std::move(operation));
}

void OperationRunner::return_machines(const Returns& returns) {
  Operation operation;
  operation.name = next_name('d');
  operation.kind = OperationKind::Return;
  operation.returns = returns;
  begin(std::move(operation));
}

void OperationRunner::begin(Operation operation) {
  cloud_.count_call();
  operation.token = authority_.token();
  operation.holder = settings_.node;
  operation.begun = runtime_.wall();
  pending_[operation.name] = operation;
  log_event("begun", operation);
  operation_log_->append(operation, while_running([name = operation.name](OperationRunner& self,
                                                                          AppendOutcome outcome) {
                           self.on_appended(name, outcome);
                         }));
}

void OperationRunner::on_appended(const std::string& name, AppendOutcome outcome) {
  if (outcome == AppendOutcome::Durable) {
    send(name, CallBudget::Taken);
    return;
  }
  const Operation dropped = complete(name, OperationState::Withdrawn);
  if (dropped.kind == OperationKind::Rent) events_.on_not_granted(dropped);
}

void OperationRunner::send(const std::string& name, CallBudget budget) {
  const auto it = pending_.find(name);
  if (it == pending_.end()) return;
  // A leader that has been replaced sends no requests. If it does not know that yet, or its packet
  // arrives late, the request does no harm: the operation is in the operation log, and the
  // successor repeats the request under the same name.
  if (!authority_.lease_valid() || (budget == CallBudget::NotTaken && !cloud_.may_call())) {
    send_later(name, kSendRetryDelay);
    return;
  }
  if (budget == CallBudget::NotTaken) cloud_.count_call();
  log_event("sent", it->second);
  if (it->second.kind == OperationKind::Rent) {
    send_rental(it->second);
  } else {
    send_return(it->second);
  }
}

void OperationRunner::send_later(const std::string& name, Duration delay) {
  runtime_.after(delay, while_running([name](OperationRunner& self) {
                   self.send(name, CallBudget::NotTaken);
                 }));
}

void OperationRunner::send_rental(const Operation& operation) {
  const Rental& rental = operation.rental;
  wire::RentalRequest request{operation.name, rental.type, rental.zone, rental.spot, rental.count};
  if (authority_.sends_fencing_token()) request.token = authority_.token();
  cloud_.rent_machines(
      request, while_running([name = operation.name](OperationRunner& self,
                                                     const cloud::Cloud::RentResult& result) {
        if (self.pending_.count(name) != 0) self.on_rental_answer(name, result);
      }));
}

void OperationRunner::on_rental_answer(const std::string& name,
                                       const cloud::Cloud::RentResult& result) {
  using Outcome = cloud::Cloud::RentResult::Outcome;
  switch (result.outcome) {
    case Outcome::Rented:
      grant(name, result.machines);
      break;
    case Outcome::NoCapacity:
      refuse(name);
      break;
    case Outcome::NotExecuted:
      withdraw_or_retry(name);
      break;
    case Outcome::Unknown:
      maybe_executed_.insert(name);
      send_later(name, kRentalRetryDelay);
      break;
  }
}

void OperationRunner::grant(const std::string& name, const std::vector<std::string>& machines) {
  pending_.at(name).machines = machines;
  const Operation granted = complete(name, OperationState::Granted);
  operation_log_->update(granted);
  events_.on_granted(granted);
  track_granted_machines(granted);
}

void OperationRunner::refuse(const std::string& name) {
  const Operation refused = complete(name, OperationState::Refused);
  operation_log_->remove(name);
  events_.on_not_granted(refused);
}

// The cloud has not executed the last request. If it cannot have executed an earlier one either,
// the rental is withdrawn, so that the autoscaler decides again.
void OperationRunner::withdraw_or_retry(const std::string& name) {
  if (maybe_executed_.count(name) != 0) {
    send_later(name, kRentalRetryDelay);
    return;
  }
  const Operation withdrawn = complete(name, OperationState::Withdrawn);
  operation_log_->remove(name);
  events_.on_not_granted(withdrawn);
}

void OperationRunner::send_return(const Operation& operation) {
  wire::ReturnRequest request;
  for (const auto& [machine, reason] : operation.returns) request.machines.push_back(machine);
  if (authority_.sends_fencing_token()) {
    request.request = operation.name;
    request.token = authority_.token();
  }
  cloud_.return_machines(
      request, while_running([name = operation.name](OperationRunner& self,
                                                     cloud::Cloud::ReturnOutcome outcome) {
        if (self.pending_.count(name) != 0) self.on_return_answer(name, outcome);
      }));
}

void OperationRunner::on_return_answer(const std::string& name,
                                       cloud::Cloud::ReturnOutcome outcome) {
  if (outcome != cloud::Cloud::ReturnOutcome::Returned) {
    send_later(name, kReturnRetryDelay);
    return;
  }
  const Operation confirmed = complete(name, OperationState::Confirmed);
  operation_log_->update(confirmed);
  remove_later(name);
  events_.on_returned(confirmed);
}

// Removes the operation from the Pending ones and returns it in its new state.
Operation OperationRunner::complete(const std::string& name, OperationState state) {
  const auto it = pending_.find(name);
  Operation out = std::move(it->second);
  out.state = state;
  pending_.erase(it);
  inherited_.erase(name);
  maybe_executed_.erase(name);
  log_event(to_string(state), out);
  return out;
}

void OperationRunner::track_granted_machines(const Operation& operation) {
  for (const auto& machine : operation.machines) unresolved_[machine] = operation.name;
  if (operation.machines.empty()) operation_log_->remove(operation.name);
}

void OperationRunner::resolve_machine(const std::string& machine) {
  const auto it = unresolved_.find(machine);
  if (it == unresolved_.end()) return;
  const std::string name = std::move(it->second);
  unresolved_.erase(it);
  const bool others_unresolved =
      std::any_of(unresolved_.begin(), unresolved_.end(),
                  [&](const auto& entry) { return entry.second == name; });
  if (!others_unresolved) operation_log_->remove(name);
}

void OperationRunner::remove_later(const std::string& name) {
  const auto delay = settings_.list_lag * kConfirmedReturnListLags + kConfirmedReturnMargin;
  runtime_.after(
      delay, while_running([name](OperationRunner& self) { self.operation_log_->remove(name); }));
}

// Administrators trace operations by these log lines, see docs/operations/provisioning.md.
void OperationRunner::log_event(std::string_view event, const Operation& operation) {
  log::info("operation {} {}: {}", operation.name, event, describe(operation));
}

}  // namespace asterstair::provisioning
