#include "node/peer_table.hpp"

namespace asterstair {
namespace {

// Gossip messages come once a second.
constexpr auto kRecent = 3s;

}  // namespace

PeerTable::PeerTable(const std::vector<Peer>& peers, TimePoint started) : started_(started) {
  for (const auto& peer : peers) all_[peer.node];
}

bool PeerTable::update(const wire::GossipMessage& message, TimePoint now) {
  const auto it = all_.find(message.node);
  if (it == all_.end()) return false;
  Status& status = it->second;
  const auto at = [now](std::uint32_t age_ms) { return now - milliseconds(age_ms); };
  status.last_seen = now;
  status.store_reachable = message.store_reachable;
  if (message.store_age_ms != wire::kUnknownAge)
    status.store_last_answer = at(message.store_age_ms);
  if (message.heartbeat_age_ms != wire::kUnknownAge)
    status.last_heartbeat = at(message.heartbeat_age_ms);
  if (!message.leader.empty() && message.leader_age_ms != wire::kUnknownAge) {
    status.leader = message.leader;
    status.leader_last_seen = at(message.leader_age_ms);
  }
  return true;
}

bool PeerTable::recent(const Status& status, TimePoint now) {
  return status.last_seen != TimePoint{} && now - status.last_seen <= kRecent;
}

TimePoint PeerTable::last_seen(const std::string& node) const {
  const auto it = all_.find(node);
  return it == all_.end() || it->second.last_seen == TimePoint{} ? started_ : it->second.last_seen;
}

bool PeerTable::is_unreachable(const std::string& node, TimePoint now) const {
  const auto it = all_.find(node);
  return it != all_.end() && it->second.last_seen != TimePoint{} && !recent(it->second, now);
}

bool PeerTable::majority_suspects(const std::string& leader, Duration timeout,
                                  TimePoint now) const {
  if (all_.count(leader) == 0 || now - last_seen(leader) <= timeout) return false;
  std::size_t missing = 1;
  for (const auto& [node, status] : all_) {
    if (node == leader || !recent(status, now) || status.leader != leader) continue;
    if (now - status.leader_last_seen > timeout) ++missing;
  }
  const std::size_t nodes = all_.size() + 1;
  return missing > nodes / 2;
}

}  // namespace asterstair
