#pragma once
// Leader election: the lease of the leader key. Its token is what workers are told.

#include <functional>
#include <string>

#include "base/runtime.hpp"
#include "base/settings.hpp"
#include "lease/lease.hpp"
#include "store/store.hpp"

namespace asterstair::leader {

class Election {
 public:
  struct Events {
    std::function<void(std::uint64_t token)> elected;
    std::function<void()> lost;
  };

  Election(Runtime& runtime, store::Store& store, const Settings& settings, Events events);
  void start() { lease_.campaign(); }

  // Gives leadership up for good: nothing is done under this token any more. A peer that hears
  // of it may claim the key at once, see claim_after_step_down().
  void step_down() { lease_.step_down(); }
  // A peer has resigned this token, so the key at that version may be claimed.
  void claim_after_step_down(std::uint64_t token) { lease_.claim_after_step_down(token); }
  // The leader is not heard by a majority of the nodes: claims its key without waiting for its
  // grant to end. It may be holding a valid lease still, see previous_leaders_expiry().
  void force_failover() { lease_.force_claim(); }
  // A peer says that it leads with a higher token.
  void on_higher_token(std::uint64_t token) { lease_.on_higher_token(token); }

  bool leading() const { return lease_.held(); }
  bool lease_valid() const { return lease_.lease_valid(); }
  std::uint64_t token() const { return lease_.token(); }
  // The latest token that this node has resigned; 0: none.
  std::uint64_t stepped_down_token() const { return lease_.stepped_down_token(); }
  // Until when, at the latest, leaders before this node's term may act on their lease validity.
  TimePoint previous_leaders_expiry() const { return lease_.previous_holders_expiry(); }
  // The condition every write of the leader carries.
  wire::Condition guard() const { return lease_.guard(); }
  // Last known leader, this node included; empty if unknown.
  const std::string& leader() const { return lease_.holder(); }

 private:
  lease::Lease lease_;
};

}  // namespace asterstair::leader
