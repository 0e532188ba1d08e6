#pragma once
/// @file
/// Validity of previous holders' leases after a forced claim. Owned by Renewer.

#include <cstdint>

#include "base/runtime.hpp"
#include "lease/callback_guard.hpp"
#include "lease/options.hpp"
#include "store/store.hpp"

namespace asterstair::lease {

/// Tracks until when leases of previous holders may be valid, and stores a durable record once they
/// have all expired.
///
/// A previous holder's lease can only still be valid after a forced claim. The record lets the next
/// claim, which replaces this term's record, count as not forced. Without it, every term after a
/// forced one would be forced as well, and would wait longer than necessary for machines that send
/// no heartbeats.
class PreviousHolders {
 public:
  /// `options` must outlive this object.
  PreviousHolders(Runtime& runtime, store::Store& store, const Options& options)
      : runtime_(runtime), store_(store), options_(options) {}

  /// A term under this token begins now. `forced`: its claim did not wait until the previous
  /// holder's lease had expired.
  void begin_term(std::uint64_t token, bool forced);
  /// The term has ended: nothing more is recorded. expiry() keeps its value.
  void end_term();

  /// When all previous holders' leases have expired at the latest, by this node's steady clock. The
  /// start of the term if its claim was not forced.
  TimePoint expiry() const { return expiry_; }
  /// Writes the record once, after expiry(), under the fencing token of the term. Called
  /// periodically while the lease is held. Writes nothing unless `lease_valid`.
  void record_when_expired(bool lease_valid);

 private:
  Runtime& runtime_;
  store::Store& store_;
  const Options& options_;
  CallbackGuard write_;
  std::uint64_t token_ = 0;
  TimePoint expiry_{};
  bool unrecorded_ = false;  // the term is forced, and the record is not known to be durable
  bool writing_ = false;
};

}  // namespace asterstair::lease
