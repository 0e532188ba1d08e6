#pragma once
/// @file
/// Options of a lease, and the callbacks to its owner.

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "base/time.hpp"
#include "wire/state.hpp"

namespace asterstair::lease {

/// What a candidate does while another node holds the lease.
enum class ContentionPolicy {
  /// Claims when the record has been deleted with its store lease, when the holder is known to have
  /// stepped down, or when Lease::force_claim() is called.
  Wait,
  /// Claims at once. Whatever the previous holder may still do must be harmless, see
  /// docs/design/provisioning.md.
  TakeOver
};

/// Options of a lease. Set by the owner of the Lease, and fixed for its lifetime.
struct Options {
  /// Key of the lease's record in the state service.
  std::string key;
  /// Name of the candidate. The record contains it while this candidate holds the lease.
  std::string node;
  /// Time to live of the store lease that the record is attached to. The record is deleted when
  /// its holder has not renewed the store lease for this time.
  Duration ttl{};
  /// What to do while another node holds the lease.
  ContentionPolicy contention_policy = ContentionPolicy::Wait;
  /// Returns additional conditions for a claim's transaction. Called for each claim. Empty: there
  /// are none.
  std::function<std::vector<wire::Condition>()> claim_conditions{};
  /// Key under which the holder of a forced term records that the leases of all previous holders
  /// have expired. Empty: there is no such record, and every claim after a forced term is forced.
  std::string expiry_record_key{};
};

/// Callbacks to the owner of a Lease.
struct Events {
  /// The lease has been acquired. `forced`: a previous holder's lease may still be valid, until
  /// Lease::previous_holders_expiry().
  std::function<void(std::uint64_t token, bool forced)> acquired;
  /// The lease has been lost, withdrawn or stepped down from. Nothing more may be done under its
  /// token, and Lease::token() is already 0 when this runs.
  std::function<void()> lost;
};

/// A claim that has succeeded, as Acquirer passes it on to Renewer.
struct AcquiredClaim {
  /// Fencing token: the version of the record that the claim has written.
  std::uint64_t token = 0;
  /// Store lease that the record is attached to.
  std::uint64_t store_lease = 0;
  /// When the request that created the store lease was sent. Validity is counted from then.
  TimePoint sent_at{};
  /// Whether a previous holder's lease may still be valid.
  bool forced = false;
};

}  // namespace asterstair::lease
