#pragma once
// Operations on the cloud's machines, as the operation log keeps them: what they are, which states
// they go through, and why machines are returned. Pure types.

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/time.hpp"

namespace asterstair::provisioning {

enum class OperationKind { Rent, Return };

enum class OperationState {
  Pending,    // durable; the cloud may or may not have been asked
  Granted,    // Rent: the cloud has named the machines
  Refused,    // Rent: the cloud has none; ends the operation
  Withdrawn,  // Rent: surely not carried out, and not wanted any more; ends the operation
  Confirmed,  // Return: the machines and all on them are gone
  Settled     // over; the record stays only so that a late copy of its beginning fails
};

// Whether an operation of this kind may go from one state to the other.
bool is_legal(OperationKind kind, OperationState from, OperationState to);
// Whether nothing is left to be done for an operation in this state.
bool is_over(OperationState state);

enum class ReturnReason {
  Idle,          // not needed, known to be empty
  Faulty,        // fails its tasks; emptied first
  Unreachable,   // reports, but no answer has reached it for long
  LeaseExpired,  // its lease has long run out
  FailedBoot,    // has not come up
  Stopped,       // listed as failed
  Unlisted       // a take-over waits for it, and it neither reports nor is listed
};

// Whether tasks that the machine may hold are given up on purpose. All other returns are of
// machines that are known to be empty.
bool gives_up_work(ReturnReason reason);

// Machines of one type, zone and kind.
struct Rental {
  std::string type, zone;
  bool spot = false;
  std::size_t count = 0;
  bool operator==(const Rental&) const = default;
};

using Returns = std::map<std::string, ReturnReason>;  // by machine

struct Operation {
  std::string name;  // never used again, not even by another node
  OperationKind kind = OperationKind::Rent;
  OperationState state = OperationState::Pending;
  std::uint64_t token = 0;  // under which it was begun
  std::string holder;       // the node that began it
  WallTime begun{};
  Rental rental;                      // Rent
  std::vector<std::string> machines;  // Rent: granted
  Returns returns;                    // Return
  bool operator==(const Operation&) const = default;
};

std::string_view word(OperationKind kind);
std::string_view word(OperationState state);
std::string_view word(ReturnReason reason);
std::optional<OperationKind> kind_of(std::string_view word);
std::optional<OperationState> state_of(std::string_view word);
std::optional<ReturnReason> reason_of(std::string_view word);

}  // namespace asterstair::provisioning
