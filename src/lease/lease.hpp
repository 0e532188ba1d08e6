#pragma once
/// @file
/// A named lease in the state service.

#include <cstdint>
#include <functional>
#include <string>
#include <utility>

#include "base/runtime.hpp"
#include "lease/acquirer.hpp"
#include "lease/options.hpp"
#include "lease/renewer.hpp"
#include "store/store.hpp"

namespace asterstair::lease {

/// A named lease in the state service. At most one candidate may act under it at a time.
///
/// The lease's record is a key that is attached to a store lease. The version of the record is the
/// fencing token: every write of the holder is conditional on it, see guard(). The holder may act
/// only while lease_valid(). See Renewer for how validity is decided and for what follows from an
/// expiry.
///
/// leader::Election owns the leader's lease, and provisioning::ProvisioningController the lease
/// that fences provisioning. Acquirer works while the lease is not held, Renewer while it is held.
/// All calls and callbacks come from the event loop's thread.
class Lease {
 public:
  /// `runtime` and `store` must outlive the lease. Nothing is sent before campaign().
  Lease(Runtime& runtime, store::Store& store, Options options, Events events);

  Lease(const Lease&) = delete;
  Lease& operator=(const Lease&) = delete;

  /// Tries to acquire the lease until withdraw(), also again after each loss.
  void campaign();
  /// Releases the lease if it is held, and ends the campaign.
  void withdraw();
  /// Releases the lease if it is held: nothing more is done under its token. The campaign goes on,
  /// but this node claims only after 5 s, so that a peer can claim the lease first.
  void step_down();

  /// A peer has stepped down from this token: claims the record if it still has that version.
  /// Called for each gossip message that contains such a token; a repeated or late one has no
  /// effect.
  void claim_after_step_down(std::uint64_t token);
  /// A majority of the nodes suspects the holder: claims the lease without waiting for the store
  /// lease to expire. The previous holder's lease may be valid until previous_holders_expiry(). May
  /// be called repeatedly while the suspicion lasts.
  void force_claim();
  /// A peer reports that it holds the lease under this token. If this node holds it under a lower
  /// token, it has lost the lease.
  void on_higher_token(std::uint64_t token);

  /// Reads the record at once, to move confirmed_at(). See Renewer::confirm(). Requires held().
  void confirm(std::function<void()> done) { renewer_.confirm(std::move(done)); }

  /// Whether this node holds the lease, valid or expired.
  bool held() const { return renewer_.held(); }
  /// Whether this node holds the lease and may act under its token now.
  bool lease_valid() const { return renewer_.lease_valid(); }
  /// Fencing token; 0 while the lease is not held.
  std::uint64_t token() const { return renewer_.token(); }
  /// The last token that this node has stepped down from; 0: none.
  std::uint64_t stepped_down_token() const { return stepped_down_token_; }
  /// Latest time at which this node is known to have had no successor, see
  /// Renewer::confirmed_at().
  TimePoint confirmed_at() const { return renewer_.confirmed_at(); }
  /// When the leases of all holders before this node's term have expired at the latest.
  TimePoint previous_holders_expiry() const { return renewer_.previous_holders_expiry(); }
  /// The condition that every write of the holder carries.
  wire::Condition guard() const { return {options_.key, token()}; }
  /// Name of the last known holder, which may be this node; empty if unknown.
  const std::string& holder() const;

 private:
  void on_acquired(const AcquiredClaim& claim);
  void on_lost();

  Runtime& runtime_;
  const Options options_;
  Events events_;
  Acquirer acquirer_;
  Renewer renewer_;
  std::uint64_t stepped_down_token_ = 0;
};

}  // namespace asterstair::lease
