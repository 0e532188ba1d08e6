#include "wire/peer.hpp"

#include <msgpack.hpp>

namespace asterstair::wire {
namespace {

// Version of the message format. Nodes ignore messages with other versions.
constexpr std::uint32_t kVersion = 5;

// job, done, running
using PackedCounts = std::tuple<std::string, std::uint32_t, std::uint32_t>;

// The order of the elements defines the format.
using PackedGossip = std::tuple<std::uint32_t,              // version
                                std::string,                // node
                                std::string,                // leader
                                std::uint64_t,              // token
                                bool,                       // store reachable
                                std::uint32_t,              // store age
                                std::uint64_t,              // stepped down token
                                std::vector<PackedCounts>,  // counts
                                std::vector<std::string>,   // cancelled
                                std::uint32_t,              // heartbeat age
                                std::uint32_t>;             // leader age

std::vector<PackedCounts> pack_counts(const std::vector<PeerCounts>& counts) {
  std::vector<PackedCounts> packed;
  packed.reserve(counts.size());
  for (const auto& job : counts) packed.emplace_back(job.job, job.done, job.running);
  return packed;
}

std::vector<PeerCounts> unpack_counts(const std::vector<PackedCounts>& packed) {
  std::vector<PeerCounts> counts;
  counts.reserve(packed.size());
  for (const auto& [job, done, running] : packed) counts.push_back({job, done, running});
  return counts;
}

}  // namespace

std::string encode_gossip(const GossipMessage& message) {
  const PackedGossip packed{kVersion,
                            message.node,
                            message.leader,
                            message.token,
                            message.store_reachable,
                            message.store_age_ms,
                            message.stepped_down_token,
                            pack_counts(message.counts),
                            message.cancelled,
                            message.heartbeat_age_ms,
                            message.leader_age_ms};
  msgpack::sbuffer buffer;
  msgpack::pack(buffer, packed);
  return {buffer.data(), buffer.size()};
}

std::optional<GossipMessage> decode_gossip(const std::string& message) {
  try {
    const auto handle = msgpack::unpack(message.data(), message.size());
    const auto packed = handle.get().as<PackedGossip>();
    const auto& [version, node, leader, token, store_reachable, store_age_ms, stepped_down_token,
                 counts, cancelled, heartbeat_age_ms, leader_age_ms] = packed;
    if (version != kVersion) return std::nullopt;
    GossipMessage gossip;
    gossip.node = node;
    gossip.leader = leader;
    gossip.token = token;
    gossip.store_reachable = store_reachable;
    gossip.store_age_ms = store_age_ms;
    gossip.stepped_down_token = stepped_down_token;
    gossip.counts = unpack_counts(counts);
    gossip.cancelled = cancelled;
    gossip.heartbeat_age_ms = heartbeat_age_ms;
    gossip.leader_age_ms = leader_age_ms;
    return gossip;
  } catch (const std::exception&) {
    return std::nullopt;
  }
}

}  // namespace asterstair::wire
