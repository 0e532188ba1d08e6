#pragma once
/// @file
/// Gossip messages between the nodes, in msgpack. They are hints: no invariant rests on what
/// travels here. Package node writes and reads them.

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace asterstair::wire {

/// Most bytes of a message between nodes. Longer ones are not sent, and end a connection.
inline constexpr std::size_t kLargestPeerMessage = std::size_t{256} * 1024;
/// Most bytes that an entry takes in a message beside its job's name.
inline constexpr std::size_t kPeerEntryOverhead = 16;

/// Counts of a job's tasks, from which the other nodes answer users.
struct PeerCounts {
  std::string job;
  std::uint32_t done = 0;
  std::uint32_t running = 0;
};

/// Age of something that never happened.
inline constexpr std::uint32_t kUnknownAge = UINT32_MAX;

/// What a node tells the others.
struct GossipMessage {
  /// Name of the sender.
  std::string node;
  /// Name of the leader as far as the sender knows; empty: unknown.
  std::string leader;
  /// Fencing token of that leader.
  std::uint64_t token = 0;
  /// Whether the state service answers the sender.
  bool store_reachable = false;
  /// Time since the state service last answered the sender, in milliseconds.
  std::uint32_t store_age_ms = kUnknownAge;
  /// Fencing token of a term in which the sender led and stepped down; 0: none.
  std::uint64_t stepped_down_token = 0;
  /// Counts of all live jobs; only the leader sends them.
  std::vector<PeerCounts> counts;
  /// Jobs whose cancellation the sender has lately confirmed to a user.
  std::vector<std::string> cancelled;
  /// Time since a worker's heartbeat last reached the sender, in milliseconds.
  std::uint32_t heartbeat_age_ms = kUnknownAge;
  /// Time since the sender last heard from `leader`, if that is another node, in milliseconds.
  std::uint32_t leader_age_ms = kUnknownAge;
};

/// Encodes a message. Its length is not bounded here; the caller bounds the lists.
std::string encode_gossip(const GossipMessage& message);

/// Decodes a message; none if it is malformed or of a version that this program does not know.
std::optional<GossipMessage> decode_gossip(const std::string& message);

}  // namespace asterstair::wire
