#pragma once
/// @file
/// Decides when to step down and when to force a failover.

#include <string>

#include "base/runtime.hpp"
#include "leader/election.hpp"
#include "node/peer_table.hpp"
#include "node/term_runner.hpp"
#include "store/store.hpp"

namespace asterstair {

/// Decides when leadership must move to another node: when this node, as the leader, steps down,
/// and when, as a follower, it forces the failover of a suspected leader.
///
/// Both serve availability only. The lease excludes two leaders at the same time, see
/// lease::Renewer. docs/design.md explains both decisions under "Handing leadership over" and
/// "Replacing a silent leader". Owned by Node.
class LeadershipMonitor {
 public:
  /// All references must outlive this object.
  LeadershipMonitor(Runtime& runtime, const store::Store& store, leader::Election& election,
                    const TermRunner& terms, const PeerTable& peers);

  /// Starts the periodic liveness check of the leader, every 500 ms.
  void start();
  /// Steps down if this node leads and has lost the state service or the workers' heartbeats, and a
  /// reachable peer has not. Called by Node after each periodic gossip message.
  void check_own_term();

 private:
  /// Faults that may affect the leader alone.
  struct Impairment {
    bool store = false;       // requests to the state service fail
    bool heartbeats = false;  // no heartbeats of workers arrive

    bool any() const { return store || heartbeats; }
  };

  void check_leader_liveness();
  Impairment impairment_of(const leader::Term& term) const;
  Impairment unshared_impairment(const PeerStatus& peer, const leader::Term& term,
                                 const Impairment& own) const;
  void step_down(const std::string& successor, const Impairment& reason);

  Runtime& runtime_;
  const store::Store& store_;
  leader::Election& election_;
  const TermRunner& terms_;
  const PeerTable& peers_;
};

}  // namespace asterstair
