#pragma once
/// @file
/// The fields of a heartbeat and of its tasks that the leader reads. Only the heartbeat decoder
/// includes this header.

#include <cstddef>
#include <string_view>

#include "wire/names.hpp"

namespace asterstair::wire {

/// A field of a heartbeat or of one of its tasks.
enum class HeartbeatField : unsigned {
  // Fields of the heartbeat.
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
  // Fields of a task.
  Task,
  Attempt,
  State,
  Cause,
  Saved,
  /// Any other field; the decoder ignores it.
  Unknown
};

/// A set of fields, as a bit mask.
using HeartbeatFieldSet = unsigned;

/// Returns the set that contains only `field`.
constexpr HeartbeatFieldSet field_bit(HeartbeatField field) {
  return 1U << static_cast<unsigned>(field);
}

/// A field, its name on the wire, and whether a message that lacks it is rejected.
struct HeartbeatFieldSpec {
  std::string_view name;
  HeartbeatField field;
  bool required;
};

/// Fields of a heartbeat. The list of tasks is required, because the leader would take a missing
/// list for an idle machine.
inline constexpr HeartbeatFieldSpec kHeartbeatFields[] = {
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
inline constexpr HeartbeatFieldSpec kHeartbeatTaskFields[] = {
    {name::kTask, HeartbeatField::Task, true},
    {name::kAttempt, HeartbeatField::Attempt, true},
    {name::kState, HeartbeatField::State, true},
    {name::kCause, HeartbeatField::Cause, false},
    {name::kSaved, HeartbeatField::Saved, false}};

/// Returns the field called `name`, or HeartbeatField::Unknown.
template <std::size_t N>
HeartbeatField find_field(std::string_view name, const HeartbeatFieldSpec (&fields)[N]) {
  for (const auto& known : fields) {
    if (known.name == name) return known.field;
  }
  return HeartbeatField::Unknown;
}

/// Returns the name of the first required field that is not in `seen`, or an empty name if none is
/// missing.
template <std::size_t N>
std::string_view missing_field(HeartbeatFieldSet seen, const HeartbeatFieldSpec (&fields)[N]) {
  for (const auto& known : fields) {
    if (known.required && (seen & field_bit(known.field)) == 0) return known.name;
  }
  return {};
}

/// Returns the name of a field on the wire; empty for HeartbeatField::Unknown.
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
