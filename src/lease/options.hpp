#pragma once
/// @file
/// What distinguishes one lease from another, and what its owner is told.

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "base/time.hpp"
#include "wire/state.hpp"

namespace asterstair::lease {

/// What a candidate does about a lease that another node holds.
enum class ContentionPolicy {
  /// Claims when the record vanishes with its store lease, when the holder is known to have stepped
  /// down, or when Lease::force_claim() is called.
  Wait,
  /// Claims at once. What the earlier holder may still do has to be harmless, see
  /// docs/design/provisioning.md.
  TakeOver
};

/// What distinguishes one lease from another. Set by the owner of a Lease, and fixed for its
/// lifetime.
struct Options {
  /// Key of the lease's record in the state service.
  std::string key;
  /// Name of the candidate, which the record shows while it holds the lease.
  std::string node;
  /// Time to live of the store lease that the record hangs on. A holder that stops renewing is
  /// without the record after this time.
  Duration ttl{};
  /// What to do about another holder.
  ContentionPolicy contention_policy = ContentionPolicy::Wait;
  /// Further conditions that a claim's transaction carries; none if empty. Evaluated for each
  /// claim.
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
  /// The lease has been lost, withdrawn or stepped down from. Nothing may be done under its token
  /// any more, which is forgotten when this runs.
  std::function<void()> lost;
};

/// A claim that has succeeded: what the acquirer hands to the renewer.
struct AcquiredClaim {
  /// Fencing token: the version of the record that the claim has written.
  std::uint64_t token = 0;
  /// Store lease that the record hangs on.
  std::uint64_t store_lease = 0;
  /// When the request that created the store lease was sent. Validity is counted from then.
  TimePoint sent_at{};
  /// Whether a previous holder's lease may still be valid.
  bool forced = false;
};

}  // namespace asterstair::lease
