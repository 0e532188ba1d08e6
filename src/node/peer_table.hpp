#pragma once
/// @file
/// What the peers have last said of themselves.

#include <map>
#include <string>
#include <vector>

#include "base/settings.hpp"
#include "base/time.hpp"
#include "wire/peer.hpp"

namespace asterstair {

/// What a peer's gossip has last said. Times are on this node's steady clock; the epoch means
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
  /// Name of the other node that it follows as the leader.
  std::string leader;
  /// When it last heard from that leader.
  TimePoint leader_last_seen{};

  /// Whether it is alive as far as can be told: its last message is at most 3 s old.
  bool reachable(TimePoint now) const;
};

/// The membership view of a node: the status of each peer of the settings file, as gossip tells it.
///
/// Nothing here is more than a hint. A wrong or missing entry may delay a decision or cause a
/// needless change of leader, and breaks no invariant. Owned and updated by PeerGossip; read by the
/// parts of the node that decide on liveness.
class PeerTable {
 public:
  /// `peers` are all other nodes, `started` the start of this process.
  PeerTable(const std::vector<Peer>& peers, TimePoint started);

  /// Takes over what a gossip message says of its sender. False: the sender is not a peer, and the
  /// message is to be dropped.
  bool update(const wire::GossipMessage& message, TimePoint now);

  /// The status of each peer, by its name.
  const std::map<std::string, PeerStatus>& statuses() const { return statuses_; }
  /// When the node was last heard from. For one that never was: the start of this process.
  TimePoint last_seen(const std::string& node) const;
  /// Whether the node has been heard from, but not recently.
  bool is_unreachable(const std::string& node, TimePoint now) const;
  /// Whether a majority of all nodes, this one included, follows the leader and has not heard from
  /// it for longer than `timeout`. A single node may itself be the one that is cut off.
  bool majority_suspects(const std::string& leader, Duration timeout, TimePoint now) const;

 private:
  TimePoint started_;
  std::map<std::string, PeerStatus> statuses_;
};

}  // namespace asterstair
