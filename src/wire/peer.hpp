#pragma once
/// @file
/// Gossip messages between nodes, encoded with msgpack. They are hints: no invariant depends on
/// them. Package node writes and reads them.

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace asterstair::wire {

/// Maximum size of a message between nodes, in bytes. The sender drops longer messages; a receiver
/// closes the connection.
inline constexpr std::size_t kMaxPeerMessageBytes = std::size_t{256} * 1024;
/// Upper bound of an entry's encoded size, in bytes, without its job ID.
inline constexpr std::size_t kPeerEntryOverhead = 16;

/// Task counts of a job. Nodes other than the leader report them to users.
struct PeerCounts {
  std::string job;
  std::uint32_t done = 0;
  std::uint32_t running = 0;
};

/// Age of an event that has not happened yet.
inline constexpr std::uint32_t kUnknownAge = UINT32_MAX;

/// State that a node reports to its peers.
struct GossipMessage {
  /// Name of the sender.
  std::string node;
  /// Name of the leader that the sender knows; empty: unknown.
  std::string leader;
  /// Fencing token of that leader.
  std::uint64_t token = 0;
  /// Whether the state service responds to the sender.
  bool store_reachable = false;
  /// Time since the state service last responded to the sender, in milliseconds.
  std::uint32_t store_age_ms = kUnknownAge;
  /// Fencing token of a term in which the sender led and then stepped down; 0: none.
  std::uint64_t stepped_down_token = 0;
  /// Task counts of all live jobs; only the leader sends them.
  std::vector<PeerCounts> counts;
  /// IDs of the jobs whose cancellation the sender recently confirmed to a user.
  std::vector<std::string> cancelled;
  /// Time since a worker's heartbeat last reached the sender, in milliseconds.
  std::uint32_t heartbeat_age_ms = kUnknownAge;
  /// Time since the sender last received a message from `leader`, in milliseconds. kUnknownAge if
  /// the sender leads or knows no leader.
  std::uint32_t leader_age_ms = kUnknownAge;
};

/// Encodes a message. Does not limit its size; the caller bounds the lists.
std::string encode_gossip(const GossipMessage& message);

/// Decodes a message. Returns none if it is malformed or has an unsupported version.
std::optional<GossipMessage> decode_gossip(const std::string& message);

}  // namespace asterstair::wire
