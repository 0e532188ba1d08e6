#pragma once
/// @file
/// Encoding of the provisioning records in the state service:
///
///   duty/machines             the provisioning lease; the key's version is the fencing token
///   ledger/machines/NAME      one operation of the operation log
///   orphans/machines          orphaned instances, for administrators
///   control/machines          administrators' requests: pause, handover
///
/// Decoding throws wire::DecodeError if a record is malformed or has a newer format.

#include <string>
#include <vector>

#include "provisioning/operation.hpp"
#include "wire/json.hpp"

namespace asterstair::provisioning {

/// Key of the provisioning lease. Running clusters have stored records under this key and the keys
/// below, so they must not change.
inline constexpr const char* kLeaseKey = "duty/machines";
/// Prefix of the keys of operations; the operation's name follows.
inline constexpr const char* kOperationPrefix = "ledger/machines/";
/// Key of the record of orphaned instances.
inline constexpr const char* kOrphansKey = "orphans/machines";
/// Key of the record of administrators' requests.
inline constexpr const char* kControlKey = "control/machines";

/// Returns the key of the operation's record.
std::string operation_key(const std::string& name);
/// Returns the operation's name: the part of the key after kOperationPrefix.
std::string operation_name(const std::string& key);

/// Encodes the operation without its name, which is in the key.
wire::Json encode_operation(const Operation& operation);
/// Decodes a record; the operation's name comes from the key.
Operation decode_operation(const std::string& key, const wire::Json& value);

/// Administrators' requests. Written by AdminCommands, read by AdminControl.
struct ControlRecord {
  bool paused = false;  ///< no operation begins; Pending operations are completed
  /// The holder of this fencing token hands the provisioning lease over; 0: no such request.
  std::uint64_t hand_over_from = 0;
};
/// Encodes the value of kControlKey.
wire::Json encode_control(const ControlRecord& control);
/// Decodes the value of kControlKey.
ControlRecord decode_control(const wire::Json& value);

/// A machine that the cloud lists but neither the operation log nor the leader knows, or one that
/// was granted and never listed.
struct OrphanedInstance {
  /// State of the machine, as far as it is known.
  enum class State {
    Waiting,       ///< listed, but no heartbeat has been received yet
    InUse,         ///< its worker sends heartbeats
    Returned,      ///< returned to the cloud
    Vanished,      ///< was listed, but no longer is
    NeverAppeared  ///< granted, but never listed
  };
  std::string machine;           ///< the machine's id
  State state = State::Waiting;  ///< the machine's state
  WallTime since{};              ///< when the leader first noticed it
  /// Compares all members.
  bool operator==(const OrphanedInstance&) const = default;
};
/// Returns the state's name in the stored record, log lines and the output of admin commands.
std::string_view to_string(OrphanedInstance::State state);
/// Encodes the value of kOrphansKey.
wire::Json encode_orphans(const std::vector<OrphanedInstance>& orphans);
/// Decodes the value of kOrphansKey.
std::vector<OrphanedInstance> decode_orphans(const wire::Json& value);

}  // namespace asterstair::provisioning
