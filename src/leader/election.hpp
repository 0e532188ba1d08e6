#pragma once
/// @file
/// Leader election: the lease of the leader's key.

#include <cstdint>
#include <functional>
#include <string>

#include "base/runtime.hpp"
#include "base/settings.hpp"
#include "lease/lease.hpp"
#include "store/store.hpp"

namespace asterstair::leader {

/// Leader election: the lease of the leader key, whose fencing token workers are told.
///
/// Owned by Node, which campaigns for as long as the process runs. The expiry of the leader's lease
/// is decided by lease::Renewer::lease_valid(), which lease_valid() returns; what follows from it
/// is described there. leader::Term, the provisioning controller and the parts of the node read the
/// state of the lease here. Only Node's parts and an operator's command change it.
class Election {
 public:
  /// Callbacks to the owner.
  struct Events {
    /// This node leads now, under this token.
    std::function<void(std::uint64_t token)> elected;
    /// This node leads no longer: its term has to end at once.
    std::function<void()> lost;
  };

  /// The references have to outlive the election. Nothing is sent before start().
  Election(Runtime& runtime, store::Store& store, const Settings& settings, Events events);

  /// Begins to campaign. Called once.
  void start() { lease_.campaign(); }

  /// Gives leadership up for good: nothing is done under this token any more. A peer that hears of
  /// it may claim the key at once, see claim_after_step_down(). Called by LeadershipMonitor, and
  /// when an operator asks for it.
  void step_down() { lease_.step_down(); }
  /// A peer has stepped down from this token, so the key may be claimed at that version.
  void claim_after_step_down(std::uint64_t token) { lease_.claim_after_step_down(token); }
  /// A majority of the nodes suspects the leader: claims its key without waiting for its store
  /// lease to expire. Its lease may be valid until previous_leaders_expiry().
  void force_failover() { lease_.force_claim(); }
  /// A peer says that it leads under this token: a leader with a lower one loses its term.
  void on_higher_token(std::uint64_t token) { lease_.on_higher_token(token); }

  /// Whether this node leads. A leader may act only while lease_valid().
  bool leading() const { return lease_.held(); }
  /// Whether this node leads and may act under its token now.
  bool lease_valid() const { return lease_.lease_valid(); }
  /// Fencing token of this node's term; 0 while it does not lead.
  std::uint64_t token() const { return lease_.token(); }
  /// The latest token that this node has stepped down from; 0: none.
  std::uint64_t stepped_down_token() const { return lease_.stepped_down_token(); }
  /// Until when, at the latest, the lease of a leader before this node's term may be valid.
  TimePoint previous_leaders_expiry() const { return lease_.previous_holders_expiry(); }
  /// The condition that every write of the leader carries.
  wire::Condition guard() const { return lease_.guard(); }
  /// Name of the last known leader, which may be this node; empty if unknown.
  const std::string& leader() const { return lease_.holder(); }

 private:
  lease::Lease lease_;
};

}  // namespace asterstair::leader
