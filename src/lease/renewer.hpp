#pragma once
/// @file
/// Renewal of a held lease, and its validity.

#include <cstdint>
#include <functional>

#include "base/runtime.hpp"
#include "lease/callback_guard.hpp"
#include "lease/options.hpp"
#include "lease/previous_holders.hpp"
#include "store/store.hpp"

namespace asterstair::lease {

/// Keeps a held lease: renews it, decides whether it is valid, and notices that it is lost.
///
/// *Where the expiry of a lease is decided:* lease_valid() compares this node's steady clock with
/// the end of the store lease, which is counted from before the last successful renewal was sent
/// and shortened by the clocks' drift and a margin. Nothing else decides it. *What follows:* an
/// expired lease stays held. Its holder does nothing under its token (it answers no heartbeat, and
/// writes and rents nothing) until a renewal succeeds, which makes the lease valid again. The lease
/// is lost, and `on_lost` called, only when a renewal shows that another node has claimed the
/// record, that the record or its store lease is gone, or when the owner calls lose(), withdraw()
/// or step_down().
///
/// Owned and called by Lease.
class Renewer {
 public:
  /// `options` has to outlive the renewer. `on_lost` runs once for each term, after the token has
  /// been forgotten.
  Renewer(Runtime& runtime, store::Store& store, const Options& options,
          std::function<void()> on_lost);

  /// The lease has been acquired: it is held from now on.
  void begin_term(const AcquiredClaim& claim);
  /// Starts the periodic renewal. Called once, after begin_term().
  void start();

  /// Gives the lease up and revokes its store lease. Requires held().
  void withdraw();
  /// Gives the lease up for good. Keeps the record while a previous holder's lease may be valid,
  /// because the record tells the next claim so. Requires held().
  void step_down();
  /// Ends the term without a request to the state service. Requires held().
  void lose();

  /// Whether this node holds the lease, valid or expired.
  bool held() const { return token_ != 0; }
  /// Whether this node holds the lease and may act under its token now.
  bool lease_valid() const;
  /// Fencing token of the term; 0 while the lease is not held.
  std::uint64_t token() const { return token_; }
  /// Until when, at the latest, a previous holder's lease may be valid. Of the last term, if the
  /// lease is not held.
  TimePoint previous_holders_expiry() const { return previous_holders_.expiry(); }

 private:
  void renew();
  void on_record_read(const store::ReadResult& result, TimePoint sent_at);
  void renew_store_lease(TimePoint sent_at);
  void on_store_lease_renewed(TimePoint sent_at);
  void renew_after(Duration delay);
  void check_for_pause();
  TimePoint validity_end(TimePoint renewal_sent_at) const;

  Runtime& runtime_;
  store::Store& store_;
  const Options& options_;
  std::function<void()> on_lost_;
  CallbackGuard renewal_;      // the one renewal under way, or the timer to the next
  CallbackGuard pause_check_;  // its timer
  PreviousHolders previous_holders_;
  std::uint64_t token_ = 0;
  std::uint64_t store_lease_ = 0;
  TimePoint valid_until_{};
  TimePoint last_pause_check_{};
};

}  // namespace asterstair::lease
