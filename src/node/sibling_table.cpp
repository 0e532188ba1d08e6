#include "node/sibling_table.hpp"

namespace asterstair {
namespace {

// Hints come once a second.
constexpr auto kRecent = 3s;

}  // namespace

SiblingTable::SiblingTable(const std::vector<Sibling>& siblings, TimePoint started)
    : started_(started) {
  for (const auto& sibling : siblings) all_[sibling.node];
}

bool SiblingTable::update(const wire::PeerHint& hint, TimePoint now) {
  const auto it = all_.find(hint.node);
  if (it == all_.end()) return false;
  Status& status = it->second;
  const auto at = [now](std::uint32_t age_ms) { return now - milliseconds(age_ms); };
  status.last_seen = now;
  status.sees_store = hint.sees_store;
  if (hint.store_age_ms != wire::kUnknownAge) status.store_last_answer = at(hint.store_age_ms);
  if (hint.heartbeat_age_ms != wire::kUnknownAge) status.last_heartbeat = at(hint.heartbeat_age_ms);
  if (!hint.leader.empty() && hint.leader_age_ms != wire::kUnknownAge) {
    status.leader = hint.leader;
    status.leader_last_seen = at(hint.leader_age_ms);
  }
  return true;
}

bool SiblingTable::recent(const Status& status, TimePoint now) {
  return status.last_seen != TimePoint{} && now - status.last_seen <= kRecent;
}

TimePoint SiblingTable::last_seen(const std::string& node) const {
  const auto it = all_.find(node);
  return it == all_.end() || it->second.last_seen == TimePoint{} ? started_ : it->second.last_seen;
}

bool SiblingTable::is_unreachable(const std::string& node, TimePoint now) const {
  const auto it = all_.find(node);
  return it != all_.end() && it->second.last_seen != TimePoint{} && !recent(it->second, now);
}

bool SiblingTable::majority_suspects(const std::string& leader, Duration timeout,
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
