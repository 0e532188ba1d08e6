#pragma once
/// @file
/// Encoding of the provisioning records in the state service:
///
///   duty/machines             the provisioning lease; the key's version is the fencing token
///   ledger/machines/NAME    one operation of the operation log
///   orphans/machines          orphaned instances, for administrators
///   control/machines          what an administrator has requested: pause, handover
///
/// Decoding throws wire::DecodeError if a record is malformed or of a newer form.

#include <string>
#include <vector>

#include "provisioning/operation.hpp"
#include "wire/json.hpp"

namespace asterstair::provisioning {

/// Keys, see above. Stored data depends on them.
inline constexpr const char* kLeaseKey = "duty/machines";
/// Prefix of the keys of operations.
inline constexpr const char* kOperationPrefix = "ledger/machines/";
/// Key of the published orphans.
inline constexpr const char* kOrphansKey = "orphans/machines";
/// Key of what administrators have requested.
inline constexpr const char* kControlKey = "control/machines";

/// Returns the key of the operation's record.
std::string operation_key(const std::string& name);
/// Returns the operation's name: the part of the key after kOperationPrefix.
std::string operation_name(const std::string& key);

/// Encodes the operation without its name, which is in the key.
wire::Json encode_operation(const Operation& operation);
/// Decodes a record; the operation's name comes from the key.
Operation decode_operation(const std::string& key, const wire::Json& value);

/// What an administrator has requested. Written by AdminCommands, read by AdminControl.
struct ControlRecord {
  bool paused = false;  ///< no operation begins; Pending ones are completed
  /// The holder of this fencing token gives the provisioning lease to another node; 0: none.
  std::uint64_t hand_over_from = 0;
};
/// Encodes the value of kControlKey.
wire::Json encode_control(const ControlRecord& control);
/// Decodes the value of kControlKey.
ControlRecord decode_control(const wire::Json& value);

/// A machine that the cloud lists but neither the operation log nor the leader knows, or one that
/// was granted and never listed.
struct OrphanedInstance {
  /// What is known of the machine.
  enum class State {
    Waiting,       ///< listed, and no heartbeat has come yet
    InUse,         ///< its worker sends heartbeats
    Returned,      ///< returned to the cloud
    Vanished,      ///< listed once, and no longer
    NeverAppeared  ///< granted, and never listed
  };
  std::string machine;           ///< the machine's id
  State state = State::Waiting;  ///< what has become of it
  WallTime since{};              ///< when the leader first noticed it
  /// Compares all members.
  bool operator==(const OrphanedInstance&) const = default;
};
/// Name of the state in the stored record, log lines and admin commands.
std::string_view to_string(OrphanedInstance::State state);
/// Encodes the value of kOrphansKey.
wire::Json encode_orphans(const std::vector<OrphanedInstance>& orphans);
/// Decodes the value of kOrphansKey.
std::vector<OrphanedInstance> decode_orphans(const wire::Json& value);

}  // namespace asterstair::provisioning
