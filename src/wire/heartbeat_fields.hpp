#pragma once
/// @file
/// The fields of a heartbeat, and of a task in it, that the leader reads. Only the heartbeat
/// decoder includes this.

#include <cstddef>
#include <string_view>

#include "wire/names.hpp"

namespace asterstair::wire {

/// A field of a heartbeat or of a task in it.
enum class HeartbeatField : unsigned {
  // Of the heartbeat.
  Machine,
  Address,
  Type,
  Zone,
  Spot,
  Epoch,
  Sequence,
  Token,
  Tasks,
  PreemptionNotice,
  // Of a task in it.
  Task,
  Attempt,
  State,
  Cause,
  Saved,
  /// Any field that is ignored.
  Unknown
};

/// A set of fields, one bit each.
using HeartbeatFieldSet = unsigned;

/// Returns the set that holds one field.
constexpr HeartbeatFieldSet field_bit(HeartbeatField field) {
  return 1U << static_cast<unsigned>(field);
}

/// A field, its name on the wire, and whether a message without it is refused.
struct HeartbeatFieldName {
  std::string_view name;
  HeartbeatField field;
  bool required;
};

/// Fields of a heartbeat. Without its tasks a heartbeat would say that the machine is empty.
inline constexpr HeartbeatFieldName kHeartbeatFields[] = {
    {name::kMachine, HeartbeatField::Machine, true},
    {name::kAddress, HeartbeatField::Address, true},
    {name::kType, HeartbeatField::Type, true},
    {name::kZone, HeartbeatField::Zone, true},
    {name::kSpot, HeartbeatField::Spot, true},
    {name::kEpoch, HeartbeatField::Epoch, true},
    {name::kSequence, HeartbeatField::Sequence, true},
    {name::kToken, HeartbeatField::Token, true},
    {name::kTasks, HeartbeatField::Tasks, true},
    {name::kPreemptionNotice, HeartbeatField::PreemptionNotice, false}};

/// Fields of a task in a heartbeat.
inline constexpr HeartbeatFieldName kHeartbeatTaskFields[] = {
    {name::kTask, HeartbeatField::Task, true},
    {name::kAttempt, HeartbeatField::Attempt, true},
    {name::kState, HeartbeatField::State, true},
    {name::kCause, HeartbeatField::Cause, false},
    {name::kSaved, HeartbeatField::Saved, false}};

/// Returns the field with a name, or HeartbeatField::Unknown.
template <std::size_t N>
HeartbeatField field_named(std::string_view name, const HeartbeatFieldName (&fields)[N]) {
  for (const auto& known : fields) {
    if (known.name == name) return known.field;
  }
  return HeartbeatField::Unknown;
}

/// Returns the name of the first required field that is not in `seen`; empty if all are.
template <std::size_t N>
std::string_view missing_field(HeartbeatFieldSet seen, const HeartbeatFieldName (&fields)[N]) {
  for (const auto& known : fields) {
    if (known.required && (seen & field_bit(known.field)) == 0) return known.name;
  }
  return {};
}

/// Returns the name of a field; empty for HeartbeatField::Unknown.
inline std::string_view name_of(HeartbeatField field) {
  for (const auto& known : kHeartbeatFields) {
    if (known.field == field) return known.name;
  }
  for (const auto& known : kHeartbeatTaskFields) {
    if (known.field == field) return known.name;
  }
  return {};
}

}  // namespace asterstair::wire
