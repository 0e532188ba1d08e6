#include "provisioning/operation_runner.hpp"

#include <algorithm>

#include "base/log.hpp"

namespace asterstair::provisioning {
namespace {

constexpr auto kSendAgain =
    500ms;  // not holding a valid lease, or no call of the cloud's limit left
constexpr auto kRepeatRental = 2s;  // an unanswered one, with its name
constexpr auto kRepeatReturn = 1s;
// Confirmed returns are kept for as long as the cloud's lists may show the machines: a new holder
// must not take them for machines that nobody accounts for.
constexpr int kListLags = 3;
constexpr auto kKeptReturn = 60s;

}  // namespace

OperationRunner::OperationRunner(Runtime& runtime, cloud::Cloud& cloud, const Settings& settings,
                                 const FencingAuthority& authority,
                                 std::shared_ptr<OperationLog> operation_log)
    : runtime_(runtime),
      cloud_(cloud),
      settings_(settings),
      authority_(authority),
      operation_log_(std::move(operation_log)) {}

void OperationRunner::start(Events events, std::function<void()> loaded) {
  events_ = std::move(events);
  operation_log_->load([self = weak_from_this(),
                        loaded = std::move(loaded)](const std::vector<Operation>& operations) {
    const auto o = self.lock();
    if (!o || o->stopped_) return;
    o->on_loaded(operations);
    loaded();
  });
}

void OperationRunner::on_loaded(const std::vector<Operation>& operations) {
  loaded_ = true;
  for (const auto& operation : operations) adopt(operation);
}

// An operation of an earlier holder.
void OperationRunner::adopt(const Operation& o) {
  if (o.kind == OperationKind::Return) events_.found_return(o);
  if (o.state == OperationState::Pending) {
    log_event("resumed", o);
    open_[o.name] = o;
    inherited_.insert(o.name);
    unanswered_.insert(o.name);
    send(o.name, false);
  } else if (o.state == OperationState::Granted) {
    events_.granted(o);
    keep_granted(o);
  } else if (o.state == OperationState::Confirmed) {
    events_.returned(o);
    remove_later(o.name);
  } else if (is_over(o.state)) {
    operation_log_->remove(o.name);
  }
}

bool OperationRunner::may_begin() const {
  return loaded_ && inherited_.empty() && authority_.lease_valid() && !authority_.paused() &&
         operation_log_->has_room();
}

bool OperationRunner::returning() const {
  return std::any_of(open_.begin(), open_.end(),
                     [](const auto& o) { return o.second.kind == OperationKind::Return; });
}

// Names carry the token and a counter: never used again, not even by another node.
std::string OperationRunner::next_name(char prefix) {
  return std::string(1, prefix) + "-" + std::to_string(authority_.token()) + "-" +
         std::to_string(++begun_);
}

void OperationRunner::rent(const Rental& rental) {
  Operation operation;
  operation.name = next_name('r');
  operation.kind = OperationKind::Rent;
  operation.rental = rental;
  begin(std::move(operation));
}

void OperationRunner::give_back(const Returns& returns) {
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
  open_[operation.name] = operation;
  log_event("begun", operation);
  operation_log_->begin(operation, [self = weak_from_this(), name = operation.name](bool durable) {
    const auto o = self.lock();
    if (!o || o->stopped_) return;
    if (durable) {
      o->send(name, true);
      return;
    }
    const Operation dropped = o->finish(name, OperationState::Withdrawn);
    if (dropped.kind == OperationKind::Rent) o->events_.refused(dropped);
  });
}

// `counted`: whether the call has been taken from the cloud's limit.
void OperationRunner::send(const std::string& name, bool counted) {
  const auto it = open_.find(name);
  if (it == open_.end()) return;
  // A holder that has been replaced orders nothing. That it may still believe to be in charge, or
  // that the packet leaves late, does no harm: the order stands in the operation log, and its
  // successor completes it under the same name.
  if (!authority_.lease_valid() || (!counted && !cloud_.may_call())) {
    send_later(name, kSendAgain);
    return;
  }
  if (!counted) cloud_.count_call();
  log_event("sent", it->second);
  if (it->second.kind == OperationKind::Rent) {
    send_rental(it->second);
  } else {
    send_return(it->second);
  }
}

void OperationRunner::send_later(const std::string& name, Duration delay) {
  runtime_.after(delay, [self = weak_from_this(), name] {
    if (const auto o = self.lock(); o && !o->stopped_) o->send(name, false);
  });
}

void OperationRunner::send_rental(const Operation& operation) {
  const Rental& rental = operation.rental;
  wire::RentalRequest request{operation.name, rental.type, rental.zone, rental.spot, rental.count};
  if (authority_.offers_token()) request.token = authority_.token();
  cloud_.rent(request, [self = weak_from_this(),
                        name = operation.name](const cloud::Cloud::RentResult& result) {
    const auto o = self.lock();
    if (o && !o->stopped_ && o->open_.count(name) != 0) o->rental_answered(name, result);
  });
}

void OperationRunner::rental_answered(const std::string& name,
                                      const cloud::Cloud::RentResult& result) {
  using Outcome = cloud::Cloud::RentResult::Outcome;
  switch (result.outcome) {
    case Outcome::Rented: {
      open_.at(name).machines = result.machines;
      const Operation granted = finish(name, OperationState::Granted);
      operation_log_->update(granted);
      events_.granted(granted);
      keep_granted(granted);
      break;
    }
    case Outcome::NoCapacity: {
      const Operation refused = finish(name, OperationState::Refused);
      operation_log_->remove(name);
      events_.refused(refused);
      break;
    }
    case Outcome::Refused:
      withdraw_or_repeat(name);
      break;
    case Outcome::Unknown:
      // It may have been carried out: asked again under its name, until it is known.
      unanswered_.insert(name);
      send_later(name, kRepeatRental);
      break;
  }
}

// The cloud was over its limit, or in trouble: surely not carried out this time.
void OperationRunner::withdraw_or_repeat(const std::string& name) {
  if (unanswered_.count(name) != 0) {
    send_later(name, kRepeatRental);
    return;
  }
  const Operation withdrawn = finish(name, OperationState::Withdrawn);
  operation_log_->remove(name);
  events_.refused(withdrawn);
}

void OperationRunner::send_return(const Operation& operation) {
  wire::ReturnOrder order;
  for (const auto& [machine, reason] : operation.returns) order.machines.push_back(machine);
  if (authority_.offers_token()) {
    order.request = operation.name;
    order.token = authority_.token();
  }
  cloud_.give_back(
      order, [self = weak_from_this(), name = operation.name](cloud::Cloud::ReturnOutcome outcome) {
        const auto o = self.lock();
        if (o && !o->stopped_ && o->open_.count(name) != 0) o->return_answered(name, outcome);
      });
}

void OperationRunner::return_answered(const std::string& name,
                                      cloud::Cloud::ReturnOutcome outcome) {
  if (outcome != cloud::Cloud::ReturnOutcome::Gone) {
    send_later(name, kRepeatReturn);
    return;
  }
  const Operation confirmed = finish(name, OperationState::Confirmed);
  operation_log_->update(confirmed);
  remove_later(name);
  events_.returned(confirmed);
}

// It is answered, and open no more.
Operation OperationRunner::finish(const std::string& name, OperationState state) {
  const auto it = open_.find(name);
  Operation out = std::move(it->second);
  out.state = state;
  open_.erase(it);
  inherited_.erase(name);
  unanswered_.erase(name);
  log_event(word(state), out);
  return out;
}

void OperationRunner::keep_granted(const Operation& operation) {
  for (const auto& machine : operation.machines) unsettled_[machine] = operation.name;
  if (operation.machines.empty()) operation_log_->remove(operation.name);
}

void OperationRunner::settle(const std::string& machine) {
  const auto it = unsettled_.find(machine);
  if (it == unsettled_.end()) return;
  const std::string name = std::move(it->second);
  unsettled_.erase(it);
  const bool others = std::any_of(unsettled_.begin(), unsettled_.end(),
                                  [&](const auto& u) { return u.second == name; });
  if (!others) operation_log_->remove(name);
}

void OperationRunner::remove_later(const std::string& name) {
  runtime_.after(settings_.list_lag * kListLags + kKeptReturn, [self = weak_from_this(), name] {
    if (const auto o = self.lock(); o && !o->stopped_) o->operation_log_->remove(name);
  });
}

// Operators trace who did what by these lines: see docs/operations/provisioning.md.
void OperationRunner::log_event(std::string_view event, const Operation& o) {
  if (o.kind == OperationKind::Rent) {
    log::info("operation {} {}: rent {} of {} {} in {}, granted {}", o.name, event, o.rental.count,
              o.rental.spot ? "spot" : "ordinary", o.rental.type, o.rental.zone, o.machines.size());
    return;
  }
  std::string machines;
  for (const auto& [machine, reason] : o.returns) {
    machines += machines.empty() ? "" : ", ";
    machines += machine + " (" + std::string(word(reason)) + ")";
  }
  log::info("operation {} {}: return {}", o.name, event, machines);
}

}  // namespace asterstair::provisioning
