#pragma once
/// @file
/// Status of the peers, from their gossip.

#include <map>
#include <string>
#include <vector>

#include "base/settings.hpp"
#include "base/time.hpp"
#include "wire/peer.hpp"

namespace asterstair {

/// Status of a peer, from its latest gossip. Times are on this node's steady clock; the epoch means
/// never.
struct PeerStatus {
  /// When its last message arrived.
  TimePoint last_seen{};
  /// Whether the state service answers it.
  bool store_reachable = false;
  /// When the state service last answered it.
  TimePoint store_last_answer{};
  /// When a worker's heartbeat last reached it.
  TimePoint last_heartbeat{};
  /// Name of the other node that it last reported to follow as the leader.
  std::string leader;
  /// When it last heard from that leader.
  TimePoint leader_last_seen{};

  /// Whether it is presumed alive: its last message is at most 3 s old.
  bool reachable(TimePoint now) const;
};

/// The membership view of a node: the status of each peer in the settings file, as gossip reports
/// it.
///
/// All of it is only a hint. A wrong or missing entry may delay a decision or cause a needless
/// change of leader, but violates no invariant. Owned and updated by PeerGossip; read by the
/// components of the node that decide on liveness.
class PeerTable {
 public:
  /// `peers` are all other nodes, `started` the start of this process.
  PeerTable(const std::vector<Peer>& peers, TimePoint started);

  /// Updates the status of the sender of a gossip message. Returns false if the sender is not a
  /// peer, so that the message must be dropped.
  bool update(const wire::GossipMessage& message, TimePoint now);

  /// The status of each peer, by its name.
  const std::map<std::string, PeerStatus>& statuses() const { return statuses_; }
  /// When the last message of the node arrived; the start of this process if none has.
  TimePoint last_seen(const std::string& node) const;
  /// Whether messages of the node have arrived, but none recently.
  bool is_unreachable(const std::string& node, TimePoint now) const;
  /// Whether a majority of all nodes, including this node, follows the leader and has not heard
  /// from it for longer than `timeout`. One suspecting node does not suffice: it may itself be
  /// partitioned.
  bool majority_suspects(const std::string& leader, Duration timeout, TimePoint now) const;

 private:
  TimePoint started_;
  std::map<std::string, PeerStatus> statuses_;
};

}  // namespace asterstair
