#pragma once
/// @file
/// Gossip messages between the nodes.

#include <cstdint>
#include <string>
#include <vector>

#include "base/runtime.hpp"
#include "base/settings.hpp"
#include "frontend/frontend.hpp"
#include "leader/election.hpp"
#include "node/peer_table.hpp"
#include "node/recent_cancellations.hpp"
#include "node/term_runner.hpp"
#include "store/store.hpp"
#include "wire/peer.hpp"

namespace asterstair {

/// Gossip with the peers: sends them this node's state and applies theirs.
///
/// Messages may be lost, late or repeated. They only speed up decisions; no invariant depends on
/// them. An incoming message may cause a claim after a peer has stepped down, the loss of this
/// node's leadership to a higher token, and the stop of cancelled jobs. Owned by Node, which calls
/// publish() every second.
class PeerGossip {
 public:
  /// All references must outlive this object.
  PeerGossip(Runtime& runtime, const Settings& settings, const store::Store& store,
             leader::Election& election, const TermRunner& terms, frontend::Frontend& frontend);

  /// Sends all peers this node's state, the recent cancellations and, if this node leads, the
  /// counts of the jobs' tasks. Passes the counts to this node's frontend, too.
  void publish();
  /// Tells all peers immediately that this node leads. Called when a term has begun.
  void announce_leadership();
  /// Reports a cancellation to the term, if this node leads, and to all peers. Called by the
  /// frontend before it responds to the user.
  void announce_cancellation(const std::string& job);
  /// Handles a message. A message that is malformed or not from a peer is dropped.
  void receive(const std::string& bytes);
  /// Records that a worker's heartbeat has reached this node, whether it leads or not.
  void on_heartbeat() { last_heartbeat_ = runtime_.now(); }

  /// The status of the peers.
  const PeerTable& peers() const { return peers_; }
  /// The peer that has announced its leadership with the highest token; empty if none has.
  const std::string& announced_leader() const { return announced_leader_; }

 private:
  wire::GossipMessage state_message() const;
  std::uint32_t age_ms(TimePoint since) const;
  void add_counts(wire::GossipMessage& message, const std::vector<leader::JobCounts>& counts);
  void send(const wire::GossipMessage& message);
  void on_cancellations(const std::vector<std::string>& jobs);
  void on_leader_state(const wire::GossipMessage& message);

  Runtime& runtime_;
  const Settings& settings_;
  const store::Store& store_;
  leader::Election& election_;
  const TermRunner& terms_;
  frontend::Frontend& frontend_;
  PeerTable peers_;
  RecentCancellations cancellations_;
  std::string announced_leader_;
  std::uint64_t announced_token_ = 0;
  TimePoint last_heartbeat_{};
  bool truncation_logged_ = false;
};

}  // namespace asterstair
