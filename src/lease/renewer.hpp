#pragma once
/// @file
/// Renewal and validity of a held lease. Owned by Lease.

#include <cstdint>
#include <functional>

#include "base/runtime.hpp"
#include "lease/callback_guard.hpp"
#include "lease/options.hpp"
#include "lease/previous_holders.hpp"
#include "store/store.hpp"

namespace asterstair::lease {

/// Renews a held lease, decides whether it is valid, and detects its loss.
///
/// Validity: lease_valid() alone decides whether the lease has expired. It compares this node's
/// steady clock with the end of the store lease. That end is counted from before the last
/// successful renewal was sent, and shortened by the clock drift and a margin. The lease also
/// counts as expired after a pause of the process, until the next renewal.
///
/// Expiry: an expired lease is still held. Its holder does nothing under its token (it answers no
/// heartbeats, writes nothing and rents nothing) until a renewal succeeds, which makes the lease
/// valid again.
///
/// Loss: the lease is lost, and `on_lost` is called, only when a renewal shows that another node
/// has claimed the record or that the record or its store lease no longer exists, or when the owner
/// calls lose(), withdraw() or step_down().
class Renewer {
 public:
  /// `options` must outlive the renewer. `on_lost` runs once at the end of each term, after the
  /// token has been cleared.
  Renewer(Runtime& runtime, store::Store& store, const Options& options,
          std::function<void()> on_lost);

  /// The lease has been acquired, and is held from now on.
  void begin_term(const AcquiredClaim& claim);
  /// Starts the periodic renewal. Called once, after begin_term().
  void start();

  /// Reads the record at once, to move confirmed_at(). `done` runs after the read, unless the term
  /// has ended by then; the read may have failed. A call while a read is outstanding replaces it.
  /// Requires held().
  void confirm(std::function<void()> done);

  /// Releases the lease and revokes its store lease. Requires held().
  void withdraw();
  /// Releases the lease. Keeps the record, instead of revoking the store lease, while a previous
  /// holder's lease may be valid, because the record tells the next claim so. Requires held().
  void step_down();
  /// Ends the term without a request to the state service. Requires held().
  void lose();

  /// Whether this node holds the lease, valid or expired.
  bool held() const { return token_ != 0; }
  /// Whether this node holds the lease and may act under its token now.
  bool lease_valid() const;
  /// Fencing token of the term; 0 while the lease is not held.
  std::uint64_t token() const { return token_; }
  /// Latest time at which no other node had claimed the record after this node's claim: when the
  /// last read that found this node's record was sent. Unlike validity, it says nothing about later
  /// times: after a forced claim, a successor may act while this lease is valid.
  TimePoint confirmed_at() const { return confirmed_at_; }
  /// When all previous holders' leases have expired at the latest. Of the last term if the lease is
  /// not held.
  TimePoint previous_holders_expiry() const { return previous_holders_.expiry(); }

 private:
  void renew();
  void on_record_read(const store::ReadResult& result, TimePoint sent_at);
  bool check_record(const store::ReadResult& result, TimePoint sent_at);
  void renew_store_lease(TimePoint sent_at);
  void on_store_lease_renewed(TimePoint sent_at);
  void renew_after(Duration delay);
  void check_for_pause();
  TimePoint validity_end(TimePoint renewal_sent_at) const;

  Runtime& runtime_;
  store::Store& store_;
  const Options& options_;
  std::function<void()> on_lost_;
  CallbackGuard renewal_;       // the renewal in progress, or the timer of the next one
  CallbackGuard pause_check_;   // the timer of the next pause check
  CallbackGuard confirmation_;  // the read that confirm() has sent
  PreviousHolders previous_holders_;
  std::uint64_t token_ = 0;
  std::uint64_t store_lease_ = 0;
  TimePoint valid_until_{};
  TimePoint confirmed_at_{};
  TimePoint last_pause_check_{};
};

}  // namespace asterstair::lease
