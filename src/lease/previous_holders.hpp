#pragma once
/// @file
/// Bound on the leases of holders before a forced claim.

#include <cstdint>

#include "base/runtime.hpp"
#include "lease/callback_guard.hpp"
#include "lease/options.hpp"
#include "store/store.hpp"

namespace asterstair::lease {

/// The bound until which leases of previous holders may still be valid, and the durable record that
/// the bound has passed.
///
/// Only a forced claim leaves such a previous holder. The record lets the next claim from this
/// term's record count as not forced. Without it every term after a forced one would be forced as
/// well, and would wait longer than it must for machines that send no heartbeat. Owned by Renewer.
class PreviousHolders {
 public:
  /// `options` has to outlive this object.
  PreviousHolders(Runtime& runtime, store::Store& store, const Options& options)
      : runtime_(runtime), store_(store), options_(options) {}

  /// A term under this token begins now. `forced`: its claim did not wait for the previous holder.
  void begin_term(std::uint64_t token, bool forced);
  /// The term has ended: nothing is recorded any more. The bound stays as it was.
  void end_term();

  /// Until when, at the latest, a previous holder's lease may be valid, on this node's steady
  /// clock. The time of the claim if it was not forced.
  TimePoint expiry() const { return expiry_; }
  /// Writes the record once, after expiry(), under the fencing token of the term. Called
  /// periodically while the lease is held; `lease_valid` says whether its holder may write.
  void record_when_expired(bool lease_valid);

 private:
  Runtime& runtime_;
  store::Store& store_;
  const Options& options_;
  CallbackGuard write_;
  std::uint64_t token_ = 0;
  TimePoint expiry_{};
  bool unrecorded_ = false;  // the term is forced, and the record not known to be written
  bool writing_ = false;
};

}  // namespace asterstair::lease
