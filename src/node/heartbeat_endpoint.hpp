#pragma once
/// @file
/// Answers the workers' heartbeats.

#include <string>

#include "base/runtime.hpp"
#include "base/settings.hpp"
#include "leader/election.hpp"
#include "node/peer_gossip.hpp"
#include "node/term_runner.hpp"
#include "store/store.hpp"

namespace asterstair {

/// Answers the workers' heartbeats: a follower names the leader, and a leader that may act passes
/// the heartbeat to its term.
///
/// A response of the term may renew the worker's lease. It is sent only while this node's own lease
/// is valid and its view of the live jobs is fresh; otherwise the worker gets 503. Owned by Node,
/// called by RequestRouter.
class HeartbeatEndpoint {
 public:
  /// All references must outlive this object.
  HeartbeatEndpoint(Runtime& runtime, const Settings& settings, const store::Store& store,
                    const leader::Election& election, const TermRunner& terms, PeerGossip& gossip);

  /// Returns the response to the heartbeat in `body`. 200: the commands of the term. 421: this node
  /// does not lead; the response names the leader if it is known and reachable. 503: the leader may
  /// not act at present. 400: the body is malformed.
  HttpResponse answer(std::string body);

 private:
  HttpResponse not_leader_response() const;
  bool may_miss_cancellations() const;

  Runtime& runtime_;
  const Settings& settings_;
  const store::Store& store_;
  const leader::Election& election_;
  const TermRunner& terms_;
  PeerGossip& gossip_;
};

}  // namespace asterstair
