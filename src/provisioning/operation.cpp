#include "provisioning/operation.hpp"

#include <array>
#include <utility>

namespace asterstair::provisioning {
namespace {

template <typename E>
using Word = std::pair<E, std::string_view>;

constexpr std::array<Word<OperationKind>, 2> kKinds{
    {{OperationKind::Rent, "rent"}, {OperationKind::Return, "return"}}};

constexpr std::array<Word<OperationState>, 6> kStates{{{OperationState::Pending, "intended"},
                                                       {OperationState::Granted, "granted"},
                                                       {OperationState::Refused, "refused"},
                                                       {OperationState::Withdrawn, "withdrawn"},
                                                       {OperationState::Confirmed, "confirmed"},
                                                       {OperationState::Settled, "settled"}}};

constexpr std::array<Word<ReturnReason>, 7> kReasons{{{ReturnReason::Idle, "idle"},
                                                      {ReturnReason::Faulty, "faulty"},
                                                      {ReturnReason::Unreachable, "unreachable"},
                                                      {ReturnReason::LeaseExpired, "silent"},
                                                      {ReturnReason::FailedBoot, "failed boot"},
                                                      {ReturnReason::Stopped, "stopped"},
                                                      {ReturnReason::Unlisted, "unlisted"}}};

template <typename Table, typename E>
std::string_view find_word(const Table& table, E value) {
  for (const auto& [each, word] : table) {
    if (each == value) return word;
  }
  return "";
}

template <typename E, std::size_t N>
std::optional<E> find_value(const std::array<Word<E>, N>& table, std::string_view word) {
  for (const auto& [value, each] : table) {
    if (each == word) return value;
  }
  return std::nullopt;
}

}  // namespace

bool is_legal(OperationKind kind, OperationState from, OperationState to) {
  if (to == OperationState::Settled) {
    return from != OperationState::Pending && from != OperationState::Settled;
  }
  if (from != OperationState::Pending) return false;
  if (kind == OperationKind::Return) return to == OperationState::Confirmed;
  return to == OperationState::Granted || to == OperationState::Refused ||
         to == OperationState::Withdrawn;
}

bool is_over(OperationState state) {
  return state == OperationState::Refused || state == OperationState::Withdrawn ||
         state == OperationState::Settled;
}

bool gives_up_work(ReturnReason reason) {
  return reason == ReturnReason::Unreachable || reason == ReturnReason::LeaseExpired ||
         reason == ReturnReason::Stopped || reason == ReturnReason::Unlisted;
}

std::string_view word(OperationKind kind) { return find_word(kKinds, kind); }
std::string_view word(OperationState state) { return find_word(kStates, state); }
std::string_view word(ReturnReason reason) { return find_word(kReasons, reason); }
std::optional<OperationKind> kind_of(std::string_view word) { return find_value(kKinds, word); }
std::optional<OperationState> state_of(std::string_view word) { return find_value(kStates, word); }
std::optional<ReturnReason> reason_of(std::string_view word) { return find_value(kReasons, word); }

}  // namespace asterstair::provisioning
