#pragma once
// The form of the duty's records in the state service:
//
//   duty/machines             the lease: who holds the duty; its version is the fencing token
//   ledger/machines/<name>    an operation
//   orphans/machines          machines that nobody accounts for, for operators
//   control/machines          what an operator has asked for: pause, handing over
//
// A record that cannot be read, or is of a newer form, throws wire::BadMessage.

#include <string>
#include <vector>

#include "duties/operation.hpp"
#include "wire/json.hpp"

namespace asterstair::duties {

inline constexpr const char* kLeaseKey = "duty/machines";
inline constexpr const char* kLedgerPrefix = "ledger/machines/";
inline constexpr const char* kOrphansKey = "orphans/machines";
inline constexpr const char* kControlKey = "control/machines";

std::string ledger_key(const std::string& name);

wire::Json encode_operation(const Operation& operation);
// The name is the part of the key behind kLedgerPrefix.
Operation decode_operation(const std::string& key, const wire::Json& value);

// What an operator has asked for.
struct Control {
  bool paused = false;               // nothing new is begun; open operations are completed
  std::uint64_t hand_over_from = 0;  // the holder of this token gives the duty to another node
};
wire::Json encode_control(const Control& control);
Control decode_control(const wire::Json& value);

// A machine that is listed but neither in the ledger nor in the fleet, or granted and never listed.
struct Orphan {
  enum class State { Waiting, InUse, Returned, Vanished, NeverAppeared };
  std::string machine;
  State state = State::Waiting;
  WallTime since{};
  bool operator==(const Orphan&) const = default;
};
std::string_view word(Orphan::State state);
wire::Json encode_orphans(const std::vector<Orphan>& orphans);
std::vector<Orphan> decode_orphans(const wire::Json& value);

}  // namespace asterstair::duties
