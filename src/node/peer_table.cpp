#include "node/peer_table.hpp"

namespace asterstair {
namespace {

// Gossip messages are sent once a second; two in a row may be lost.
constexpr auto kReachableWindow = 3s;

}  // namespace

bool PeerStatus::reachable(TimePoint now) const {
  return last_seen != TimePoint{} && now - last_seen <= kReachableWindow;
}

PeerTable::PeerTable(const std::vector<Peer>& peers, TimePoint started) : started_(started) {
  for (const auto& peer : peers) statuses_[peer.node];
}

bool PeerTable::update(const wire::GossipMessage& message, TimePoint now) {
  const auto sender = statuses_.find(message.node);
  if (sender == statuses_.end()) return false;
  PeerStatus& status = sender->second;
  const auto at = [now](std::uint32_t age_ms) { return now - milliseconds(age_ms); };
  status.last_seen = now;
  status.store_reachable = message.store_reachable;
  if (message.store_age_ms != wire::kUnknownAge) {
    status.store_last_answer = at(message.store_age_ms);
  }
  if (message.heartbeat_age_ms != wire::kUnknownAge) {
    status.last_heartbeat = at(message.heartbeat_age_ms);
  }
  if (!message.leader.empty() && message.leader_age_ms != wire::kUnknownAge) {
    status.leader = message.leader;
    status.leader_last_seen = at(message.leader_age_ms);
  }
  return true;
}

TimePoint PeerTable::last_seen(const std::string& node) const {
  const auto peer = statuses_.find(node);
  if (peer == statuses_.end() || peer->second.last_seen == TimePoint{}) return started_;
  return peer->second.last_seen;
}

bool PeerTable::is_unreachable(const std::string& node, TimePoint now) const {
  const auto peer = statuses_.find(node);
  if (peer == statuses_.end() || peer->second.last_seen == TimePoint{}) return false;
  return !peer->second.reachable(now);
}

bool PeerTable::majority_suspects(const std::string& leader, Duration timeout,
                                  TimePoint now) const {
  if (statuses_.count(leader) == 0 || now - last_seen(leader) <= timeout) return false;
  std::size_t suspecting = 1;  // this node
  for (const auto& [node, status] : statuses_) {
    if (node == leader || !status.reachable(now) || status.leader != leader) continue;
    if (now - status.leader_last_seen > timeout) ++suspecting;
  }
  const std::size_t nodes = statuses_.size() + 1;
  return suspecting > nodes / 2;
}

}  // namespace asterstair
