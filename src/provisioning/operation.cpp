#include "provisioning/operation.hpp"

#include <fmt/format.h>

#include "provisioning/name_table.hpp"

namespace asterstair::provisioning {
namespace {

constexpr NameTable<OperationKind, 2> kKindNames{
    {{OperationKind::Rent, "rent"}, {OperationKind::Return, "return"}}};

constexpr NameTable<OperationState, 6> kStateNames{{{OperationState::Pending, "intended"},
                                                    {OperationState::Granted, "granted"},
                                                    {OperationState::Refused, "refused"},
                                                    {OperationState::Withdrawn, "withdrawn"},
                                                    {OperationState::Confirmed, "confirmed"},
                                                    {OperationState::Settled, "settled"}}};

constexpr NameTable<ReturnReason, 7> kReasonNames{{{ReturnReason::Idle, "idle"},
                                                   {ReturnReason::Faulty, "faulty"},
                                                   {ReturnReason::Unreachable, "unreachable"},
                                                   {ReturnReason::LeaseExpired, "silent"},
                                                   {ReturnReason::FailedBoot, "failed boot"},
                                                   {ReturnReason::Stopped, "stopped"},
                                                   {ReturnReason::Unlisted, "unlisted"}}};

std::string describe(const Returns& returns) {
  std::string machines;
  for (const auto& [machine, reason] : returns) {
    if (!machines.empty()) machines += ", ";
    machines += fmt::format("{} ({})", machine, to_string(reason));
  }
  return "return " + machines;
}

}  // namespace

bool is_valid_transition(OperationKind kind, OperationState from, OperationState to) {
  if (to == OperationState::Settled) {
    return from != OperationState::Pending && from != OperationState::Settled;
  }
  if (from != OperationState::Pending) return false;
  if (kind == OperationKind::Return) return to == OperationState::Confirmed;
  return to == OperationState::Granted || to == OperationState::Refused ||
         to == OperationState::Withdrawn;
}

bool is_final(OperationState state) {
  return state == OperationState::Refused || state == OperationState::Withdrawn ||
         state == OperationState::Settled;
}

bool gives_up_work(ReturnReason reason) {
  return reason == ReturnReason::Unreachable || reason == ReturnReason::LeaseExpired ||
         reason == ReturnReason::Stopped || reason == ReturnReason::Unlisted;
}

std::string_view to_string(OperationKind kind) { return name_of(kKindNames, kind); }
std::string_view to_string(OperationState state) { return name_of(kStateNames, state); }
std::string_view to_string(ReturnReason reason) { return name_of(kReasonNames, reason); }

std::optional<OperationKind> parse_operation_kind(std::string_view name) {
  return value_of(kKindNames, name);
}

std::optional<OperationState> parse_operation_state(std::string_view name) {
  return value_of(kStateNames, name);
}

std::optional<ReturnReason> parse_return_reason(std::string_view name) {
  return value_of(kReasonNames, name);
}

std::string describe(const Operation& operation) {
  if (operation.kind == OperationKind::Return) return describe(operation.returns);
  const Rental& rental = operation.rental;
  return fmt::format("rent {} of {} {} in {}, granted {}", rental.count,
                     rental.spot ? "spot" : "on-demand", rental.type, rental.zone,
                     operation.machines.size());
}

}  // namespace asterstair::provisioning
