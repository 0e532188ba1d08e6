#include "wire/peer.hpp"

#include <msgpack.hpp>

namespace asterstair::wire {
namespace {

constexpr std::uint32_t kVersion = 5;
using Packed =
    std::tuple<std::uint32_t, std::string, std::string, std::uint64_t, bool, std::uint32_t,
               std::uint64_t, std::vector<std::tuple<std::string, std::uint32_t, std::uint32_t>>,
               std::vector<std::string>, std::uint32_t, std::uint32_t>;

}  // namespace

std::string encode_gossip(const GossipMessage& message) {
  Packed packed{kVersion,
                message.node,
                message.leader,
                message.token,
                message.store_reachable,
                message.store_age_ms,
                message.stepped_down_token,
                {},
                message.cancelled,
                message.heartbeat_age_ms,
                message.leader_age_ms};
  auto& counts = std::get<7>(packed);
  counts.reserve(message.counts.size());
  for (const auto& c : message.counts) counts.emplace_back(c.job, c.done, c.running);
  msgpack::sbuffer out;
  msgpack::pack(out, packed);
  return {out.data(), out.size()};
}

std::optional<GossipMessage> decode_gossip(const std::string& message) {
  try {
    const auto handle = msgpack::unpack(message.data(), message.size());
    const auto packed = handle.get().as<Packed>();
    if (std::get<0>(packed) != kVersion) return std::nullopt;
    GossipMessage out{std::get<1>(packed),
                      std::get<2>(packed),
                      std::get<3>(packed),
                      std::get<4>(packed),
                      std::get<5>(packed),
                      std::get<6>(packed),
                      {},
                      std::get<8>(packed),
                      std::get<9>(packed),
                      std::get<10>(packed)};
    for (const auto& [job, done, running] : std::get<7>(packed)) {
      out.counts.push_back({job, done, running});
    }
    return out;
  } catch (const std::exception&) {
    return std::nullopt;
  }
}

}  // namespace asterstair::wire
