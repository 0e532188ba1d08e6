#pragma once
/// @file
/// Records of a lease: its holder, and whether the leases of all previous holders have expired.
/// Package lease reads and writes them, for the leader lease and for the provisioning lease.

#include <cstdint>
#include <string>

#include "wire/json.hpp"

namespace asterstair::store {

/// Key of the leader lease, attached to the leader's store lease.
inline constexpr const char* kLeaderKey = "leader";

/// Key of the record that the leases of all leaders before a fencing token have expired. The leader
/// of a forced term writes it once that is the case, see PreviousHolders::record_when_expired().
inline constexpr const char* kPreviousLeadersExpiredKey = "earlier-leaders-ended";

/// Record of the holder of a lease.
struct HolderRecord {
  /// Node name of the holder, as in its settings.
  std::string node;
  /// Number of the claim. A candidate recognizes its own write by it when the response was lost.
  std::uint64_t claim = 0;
  /// Whether the lease of a previous holder may still have been valid when the key was claimed.
  bool forced = false;
};

/// Encodes the record of the holder of a lease.
wire::Json encode_holder(const HolderRecord& record);

/// Decodes the record of the holder of a lease. Throws wire::DecodeError, also for a newer format.
HolderRecord decode_holder(const wire::Json& value);

/// Encodes the record that the leases of all holders before a fencing token have expired.
wire::Json encode_previous_holders_expired(std::uint64_t token);

/// Returns the fencing token in the record that encode_previous_holders_expired() encodes. Throws
/// wire::DecodeError.
std::uint64_t decode_previous_holders_expired(const wire::Json& value);

}  // namespace asterstair::store
