#pragma once
/// @file
/// Acquisition of a lease: campaign, watch, claim.

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
/// outstanding; a later step overtakes it. A claim whose answer is lost is settled by reading the
/// record, which shows the claim's id.
class Acquirer {
 public:
  /// Told of a claim that has succeeded.
  using OnAcquired = std::function<void(const AcquiredClaim&)>;

  /// `options` has to outlive the acquirer. `on_acquired` runs once for each successful claim.
  Acquirer(Runtime& runtime, store::Store& store, const Options& options, OnAcquired on_acquired);

  /// Campaigns until stop(). Does nothing if that is so already.
  void start();
  /// Ends the campaign. A claim under way may still be carried out; it is not followed up, and its
  /// record vanishes with its store lease.
  void stop();
  /// Campaigns on after a held lease has been lost; does nothing after stop().
  void resume();

  /// A peer has stepped down from this token: the record may be claimed at that version.
  void claim_after_step_down(std::uint64_t token);
  /// Claims the record of another holder without waiting for its store lease to expire. Does
  /// nothing if no holder is known, if such a claim was made less than 3 s ago, or before the end
  /// of defer_claims().
  void force_claim();
  /// Leaves a vacant record, and this node's own, to the peers until then.
  void defer_claims(TimePoint until) { no_claim_before_ = until; }

  /// The other node that holds the lease, as the record was last seen; empty if unknown.
  const std::string& observed_holder() const { return holder_; }

 private:
  /// A claim that is being sent and may have been carried out.
  struct PendingClaim {
    /// Random, written to the record: tells this claim from others of the same node. 0: no claim.
    std::uint64_t id = 0;
    /// Store lease that was created for it.
    std::uint64_t store_lease = 0;
    /// When the creation of the store lease was sent.
    TimePoint sent_at{};
    /// Version of the record that it replaces; 0: no record.
    std::uint64_t expected_version = 0;
    /// Whether a previous holder's lease may still be valid.
    bool forced = false;
  };

  void read_record();
  void read_record_after(Duration delay);
  void on_list(const store::ListResult& list);
  void on_vacant();
  void on_item(const wire::Item& item, std::uint64_t revision);
  void on_record(const store::HolderRecord& record, const wire::Item& item, std::uint64_t revision);
  void on_other_holder(const store::HolderRecord& record, std::uint64_t version,
                       std::uint64_t revision);
  void on_own_record(const store::HolderRecord& record, std::uint64_t version);
  void watch_record(std::uint64_t after);
  void claim_released(std::uint64_t version, bool forced);
  bool records_expiry_of(const store::ReadResult& result, std::uint64_t version) const;
  void claim(std::uint64_t expected_version, bool forced);
  void write_claim();
  void on_claim_written(const store::WriteResult& result);
  void finish(std::uint64_t token, bool forced);
  void forget_holder();

  Runtime& runtime_;
  store::Store& store_;
  const Options& options_;
  OnAcquired on_acquired_;
  CallbackGuard step_;  // the one request or timer outstanding
  bool campaigning_ = false;
  std::string holder_;
  std::uint64_t holder_version_ = 0;           // of the record as another node holds it; 0: unknown
  std::uint64_t peer_stepped_down_token_ = 0;  // the highest that a peer has named; 0: none
  TimePoint no_claim_before_{}, next_forced_claim_{};
  PendingClaim pending_;
};

}  // namespace asterstair::lease
