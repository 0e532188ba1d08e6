#pragma once
/// @file
/// Leader election by a lease on the leader key.

#include <cstdint>
#include <functional>
#include <string>
#include <utility>

#include "base/runtime.hpp"
#include "base/settings.hpp"
#include "lease/lease.hpp"
#include "store/store.hpp"

namespace asterstair::leader {

/// Leader election by a lease on the leader key. Its fencing token is sent to the workers.
///
/// Owned by Node, which campaigns for as long as the process runs. lease_valid() returns
/// lease::Renewer::lease_valid(), which decides when the leader's lease expires and documents the
/// consequences. leader::Term, the provisioning controller and the modules of the node read the
/// state of the lease here. Only the modules of the node and an operator's command change it.
class Election {
 public:
  /// Callbacks to the owner.
  struct Events {
    /// This node has become the leader, with this fencing token.
    std::function<void(std::uint64_t token)> elected;
    /// This node is no longer the leader. Its term has to end at once.
    std::function<void()> lost;
  };

  /// The references have to outlive the election. Nothing is sent before start().
  Election(Runtime& runtime, store::Store& store, const Settings& settings, Events events);

  /// Starts to campaign. Called once.
  void start() { lease_.campaign(); }

  /// Gives up leadership. This node does not act under the current token again. A peer that learns
  /// of it may claim the key at once, see claim_after_step_down(). Called by LeadershipMonitor, and
  /// on an operator's request.
  void step_down() { lease_.step_down(); }
  /// Claims the leader key at this version, because a peer has stepped down from that token.
  void claim_after_step_down(std::uint64_t token) { lease_.claim_after_step_down(token); }
  /// Claims the leader key without waiting for its store lease to expire. Called when a majority of
  /// the nodes suspects the leader, whose lease may still be valid until previous_leaders_expiry().
  void force_failover() { lease_.force_claim(); }
  /// Handles a peer's message that it leads under this token: if this node leads under a lower one,
  /// its term ends.
  void on_higher_token(std::uint64_t token) { lease_.on_higher_token(token); }

  /// Asks the state service whether this node still leads, to move confirmed_at(). `done` runs
  /// after the answer, unless this node has lost leadership by then; there may have been no answer.
  /// Called by LeaseMonitor. Requires leading().
  void confirm(std::function<void()> done) { lease_.confirm(std::move(done)); }

  /// Whether this node leads. A leader may act only while lease_valid().
  bool leading() const { return lease_.held(); }
  /// Whether this node leads and may act under its token now.
  bool lease_valid() const { return lease_.lease_valid(); }
  /// Fencing token of this node's term; 0 while it does not lead.
  std::uint64_t token() const { return lease_.token(); }
  /// The latest token that this node has stepped down from; 0: none.
  std::uint64_t stepped_down_token() const { return lease_.stepped_down_token(); }
  /// Latest time at which this node is known to have had no successor. Until then nobody else has
  /// answered heartbeats under a newer token.
  TimePoint confirmed_at() const { return lease_.confirmed_at(); }
  /// Latest time at which the lease of a leader before this node's term may still be valid.
  TimePoint previous_leaders_expiry() const { return lease_.previous_holders_expiry(); }
  /// The fencing condition, which every write of the leader carries.
  wire::Condition guard() const { return lease_.guard(); }
  /// Name of the last known leader, which may be this node; empty if unknown.
  const std::string& leader() const { return lease_.holder(); }

 private:
  lease::Lease lease_;
};

}  // namespace asterstair::leader
