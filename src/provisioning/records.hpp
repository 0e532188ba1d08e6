#pragma once
// The form of the provisioning lease's records in the state service:
//
//   duty/machines             the lease: who holds the provisioning lease; its version is the
//   fencing token operation log/machines/<name>    an operation orphans/machines          machines
//   that nobody accounts for, for operators control/machines          what an operator has asked
//   for: pause, handing over
//
// A record that cannot be read, or is of a newer form, throws wire::DecodeError.

#include <string>
#include <vector>

#include "provisioning/operation.hpp"
#include "wire/json.hpp"

namespace asterstair::provisioning {

inline constexpr const char* kLeaseKey = "duty/machines";
inline constexpr const char* kOperationPrefix = "ledger/machines/";
inline constexpr const char* kOrphansKey = "orphans/machines";
inline constexpr const char* kControlKey = "control/machines";

std::string operation_key(const std::string& name);

wire::Json encode_operation(const Operation& operation);
// The name is the part of the key behind kOperationPrefix.
Operation decode_operation(const std::string& key, const wire::Json& value);

// What an operator has asked for.
struct Control {
  bool paused = false;  // nothing new is begun; open operations are completed
  std::uint64_t hand_over_from =
      0;  // the holder of this token gives the provisioning lease to another node
};
wire::Json encode_control(const Control& control);
Control decode_control(const wire::Json& value);

// A machine that is listed but neither in the operation log nor in the fleet, or granted and never
// listed.
struct OrphanedInstance {
  enum class State { Waiting, InUse, Returned, Vanished, NeverAppeared };
  std::string machine;
  State state = State::Waiting;
  WallTime since{};
  bool operator==(const OrphanedInstance&) const = default;
};
std::string_view word(OrphanedInstance::State state);
wire::Json encode_orphans(const std::vector<OrphanedInstance>& orphans);
std::vector<OrphanedInstance> decode_orphans(const wire::Json& value);

}  // namespace asterstair::provisioning
