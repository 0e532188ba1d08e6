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

  // Gives leadership up for good: nothing is done under this token any more. A sibling that hears
  // of it may claim the key at once, see claim_resigned().
  void resign() { lease_.resign(); }
  // A sibling has resigned this token, so the key at that version may be claimed.
  void claim_resigned(std::uint64_t token) { lease_.claim_resigned(token); }
  // The leader is not heard by a majority of the nodes: claims its key without waiting for its
  // grant to end. It may be entitled still, see earlier_leaders_end().
  void force_failover() { lease_.force_claim(); }
  // A sibling says that it leads with a higher token.
  void superseded_by(std::uint64_t token) { lease_.superseded_by(token); }

  bool leading() const { return lease_.held(); }
  bool entitled() const { return lease_.entitled(); }
  std::uint64_t token() const { return lease_.token(); }
  // The latest token that this node has resigned; 0: none.
  std::uint64_t resigned() const { return lease_.resigned(); }
  // Until when, at the latest, leaders before this node's term may act on their entitlement.
  TimePoint earlier_leaders_end() const { return lease_.earlier_holders_end(); }
  // The condition every write of the leader carries.
  wire::Condition guard() const { return lease_.guard(); }
  // Last known leader, this node included; empty if unknown.
  const std::string& leader() const { return lease_.holder(); }

 private:
  lease::Lease lease_;
};

}  // namespace asterstair::leader
