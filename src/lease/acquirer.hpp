#pragma once
/// @file
/// Acquisition of a lease: reads, watches and claims its record. Owned by Lease.

#include <cstdint>
#include <functional>
#include <string>

#include "base/runtime.hpp"
#include "lease/callback_guard.hpp"
#include "lease/options.hpp"
#include "store/records.hpp"
#include "store/store.hpp"

namespace asterstair::lease {

/// Acquires a lease: reads its record, watches the record while another node holds the lease, and
/// claims it by a compare-and-swap on the record's version.
///
/// Owned by Lease, which calls it only while the lease is not held. At most one request or timer is
/// outstanding; a later step cancels it. If the answer to a claim is lost, the record is read: it
/// contains the id of the claim that wrote it.
class Acquirer {
 public:
  /// Called when a claim has succeeded.
  using OnAcquired = std::function<void(const AcquiredClaim&)>;

  /// `options` must outlive the acquirer. `on_acquired` runs once for each successful claim.
  Acquirer(Runtime& runtime, store::Store& store, const Options& options, OnAcquired on_acquired);

  /// Campaigns until stop(). Does nothing if the campaign is already running.
  void start();
  /// Ends the campaign. An outstanding claim may still be executed; its result is ignored, and its
  /// record is deleted when its store lease expires.
  void stop();
  /// Continues the campaign after a held lease has been lost; does nothing after stop().
  void resume();

  /// A peer has stepped down from this token: the record may be claimed at that version, unless it
  /// cannot be decoded.
  void claim_after_step_down(std::uint64_t token);
  /// Claims the record of another holder without waiting for its store lease to expire. Does
  /// nothing if no holder is known, if the last forced claim was sent less than 3 s ago, or before
  /// the time given to defer_claims().
  void force_claim();
  /// Before `until`, this node does not claim a missing record or a record of its own, so that a
  /// peer claims it first.
  void defer_claims(TimePoint until) { no_claim_before_ = until; }

  /// The other node that held the lease when the record was last read; empty if unknown.
  const std::string& observed_holder() const { return holder_; }

 private:
  /// A claim that has been started and whose outcome is not known yet.
  struct PendingClaim {
    /// Random number, written to the record: distinguishes this claim from others of the same node.
    /// 0: no claim.
    std::uint64_t id = 0;
    /// Store lease that was created for the claim.
    std::uint64_t store_lease = 0;
    /// When the request that created the store lease was sent.
    TimePoint sent_at{};
    /// Version of the record that the claim replaces; 0: no record.
    std::uint64_t expected_version = 0;
    /// Whether a previous holder's lease may still be valid.
    bool forced = false;
  };

  void read_record();
  void read_record_after(Duration delay);
  void on_list(const store::ListResult& list);
  void on_missing_record();
  void on_item(const wire::Item& item, std::uint64_t revision);
  void on_record(const store::HolderRecord& record, const wire::Item& item, std::uint64_t revision);
  void on_other_holder(const store::HolderRecord& record, std::uint64_t version,
                       std::uint64_t revision);
  void on_own_record(const store::HolderRecord& record, std::uint64_t version);
  void watch_record(std::uint64_t after);
  void claim_released(std::uint64_t version, bool forced);
  bool is_expiry_recorded(const store::ReadResult& result, std::uint64_t version) const;
  void claim(std::uint64_t expected_version, bool forced);
  void write_claim();
  void on_claim_written(const store::WriteResult& result);
  void finish(std::uint64_t token, bool forced);
  void forget_holder();

  Runtime& runtime_;
  store::Store& store_;
  const Options& options_;
  OnAcquired on_acquired_;
  CallbackGuard step_;  // the outstanding request or timer
  bool campaigning_ = false;
  std::string holder_;
  std::uint64_t holder_version_ = 0;           // version of another holder's record; 0: unknown
  std::uint64_t peer_stepped_down_token_ = 0;  // highest that a peer has stepped down from; 0: none
  TimePoint no_claim_before_{}, next_forced_claim_{};
  PendingClaim pending_;
};

}  // namespace asterstair::lease
