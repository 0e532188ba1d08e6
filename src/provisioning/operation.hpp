#pragma once
/// @file
/// Operations on cloud machines: their kinds, their states and the reasons for returns. Pure types,
/// shared by the operation log, the operation runner and the autoscaler.

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/time.hpp"

namespace asterstair::provisioning {

/// What an operation requests from the cloud.
enum class OperationKind {
  Rent,   ///< rent machines
  Return  ///< return machines, with everything on them
};

/// State of an operation. Pending is the write-ahead state; see is_valid_transition().
enum class OperationState {
  Pending,    ///< Durable, without a known result. The cloud may have received the request or not.
  Granted,    ///< Rent: the cloud has answered with the ids of the granted machines.
  Refused,    ///< Rent: the cloud has no capacity. Final.
  Withdrawn,  ///< Rent: certainly not executed, and not to be repeated. Final.
  Confirmed,  ///< Return: the machines are terminated, and everything on them is deleted.
  Settled     ///< Final. The record only makes a delayed write of the Pending record fail.
};

/// Whether an operation of this kind may change from one state to the other.
bool is_valid_transition(OperationKind kind, OperationState from, OperationState to);

/// Whether an operation in this state needs no further work.
bool is_final(OperationState state);

/// Why a machine is returned.
enum class ReturnReason {
  Idle,          ///< not needed, and known to be empty
  Faulty,        ///< tasks fail on it; drained first
  Unreachable,   ///< it sends heartbeats, but has not received responses for a long time
  LeaseExpired,  ///< its lease expired long ago
  FailedBoot,    ///< it exceeded its boot timeout
  Stopped,       ///< the cloud lists it as failed
  Unlisted       ///< a new leader expects it, but it neither sends heartbeats nor is listed
};

/// Whether a return for this reason deliberately loses tasks that the machine may have. Machines
/// that are returned for another reason are known to be empty.
bool gives_up_work(ReturnReason reason);

/// A request for machines of one type, zone and price class.
struct Rental {
  std::string type;       ///< name of the machine type
  std::string zone;       ///< zone of all machines
  bool spot = false;      ///< spot machines; otherwise on-demand machines
  std::size_t count = 0;  ///< number of machines; 1 to wire::kMaxMachinesPerRental
  /// Compares all members.
  bool operator==(const Rental&) const = default;
};

/// Machines to return, each with the reason.
using Returns = std::map<std::string, ReturnReason>;

/// One request to the cloud with its state, as the operation log stores it.
struct Operation {
  std::string name;  ///< Unique over all nodes and terms. The cloud deduplicates rentals by it.
  /// Whether it rents or returns machines.
  OperationKind kind = OperationKind::Rent;
  /// Its progress.
  OperationState state = OperationState::Pending;
  std::uint64_t token = 0;            ///< fencing token under which it began
  std::string holder;                 ///< node that began it
  WallTime begun{};                   ///< when it began, by that node's clock
  Rental rental;                      ///< for Rent
  std::vector<std::string> machines;  ///< for Rent in state Granted: the granted machines
  Returns returns;                    ///< for Return
  /// Compares all members.
  bool operator==(const Operation&) const = default;
};

/// Returns the kind's name in stored records, log lines and the output of admin commands.
std::string_view to_string(OperationKind kind);
/// Returns the state's name in the same places.
std::string_view to_string(OperationState state);
/// Returns the reason's name in the same places.
std::string_view to_string(ReturnReason reason);

/// Inverse of to_string(); nothing if the name is unknown.
std::optional<OperationKind> parse_operation_kind(std::string_view name);
/// Returns the state with this name; nothing if the name is unknown.
std::optional<OperationState> parse_operation_state(std::string_view name);
/// Returns the reason with this name; nothing if the name is unknown.
std::optional<ReturnReason> parse_return_reason(std::string_view name);

/// Describes what the operation requests, for log lines and admin commands: "rent 3 of spot c16 in
/// north, granted 2" or "return n-1 (idle), n-2 (faulty)".
std::string describe(const Operation& operation);

}  // namespace asterstair::provisioning
