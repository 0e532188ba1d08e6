#pragma once
/// @file
/// Records of a lease: who holds it, and whether all previous holders' leases have expired. Package
/// lease reads and writes them, for the leader's lease and for the provisioning lease.

#include <cstdint>
#include <string>

#include "wire/json.hpp"

namespace asterstair::store {

/// Key of the leader's lease, attached to the leader's store lease.
inline constexpr const char* kLeaderKey = "leader";

/// Key of the record that all leaders before a token have lost their lease validity. The leader of
/// a forced term writes it once that is so, see PreviousHolders::record_when_expired().
inline constexpr const char* kPreviousLeadersExpiredKey = "earlier-leaders-ended";

/// Who holds a lease.
struct HolderRecord {
  /// The holder's name, as in its settings.
  std::string node;
  /// Number of the claim, by which a candidate recognizes its own write when the answer was lost.
  std::uint64_t claim = 0;
  /// Whether a previous holder's lease may still have been valid when the key was claimed.
  bool forced = false;
};

/// Encodes the record of a lease's holder.
wire::Json encode_holder(const HolderRecord& record);

/// Decodes the record of a lease's holder. Throws wire::DecodeError, also for a newer format.
HolderRecord decode_holder(const wire::Json& value);

/// Encodes the record that the leases of all holders before a fencing token have expired.
wire::Json encode_previous_holders_expired(std::uint64_t token);

/// Returns the fencing token in such a record. Throws wire::DecodeError.
std::uint64_t decode_previous_holders_expired(const wire::Json& value);

}  // namespace asterstair::store
