#pragma once
// Gossip messages between the nodes, in msgpack. Nothing that a rule rests on travels here.

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace asterstair::wire {

// Longer messages are not sent.
inline constexpr std::size_t kLargestPeerMessage = std::size_t{256} * 1024;
// What one entry takes in a message beside its job's name, at the most.
inline constexpr std::size_t kPeerEntryOverhead = 16;

struct PeerCounts {
  std::string job;
  std::uint32_t done = 0, running = 0;
};

inline constexpr std::uint32_t kUnknownAge = UINT32_MAX;

struct GossipMessage {
  std::string node;
  std::string leader;  // empty: unknown
  std::uint64_t token = 0;
  bool store_reachable = false;
  std::uint32_t store_age_ms = kUnknownAge;      // since the state service last answered it
  std::uint64_t stepped_down_token = 0;          // a token of its own that it has given up
  std::vector<PeerCounts> counts;                // only the leader's
  std::vector<std::string> cancelled;            // jobs whose cancellation it has confirmed lately
  std::uint32_t heartbeat_age_ms = kUnknownAge;  // since a worker's heartbeat last reached it
  std::uint32_t leader_age_ms = kUnknownAge;     // since it last heard from `leader`, another node
};

std::string encode_gossip(const GossipMessage& message);
// None: malformed, or of a version this program does not know.
std::optional<GossipMessage> decode_gossip(const std::string& message);

}  // namespace asterstair::wire
