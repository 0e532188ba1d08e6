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
  status.heard = now;
  status.sees_store = hint.sees_store;
  if (hint.store_age_ms != wire::kUnknownAge) status.store_answered = at(hint.store_age_ms);
  if (hint.report_age_ms != wire::kUnknownAge) status.report_heard = at(hint.report_age_ms);
  if (!hint.leader.empty() && hint.leader_age_ms != wire::kUnknownAge) {
    status.leader = hint.leader;
    status.leader_heard = at(hint.leader_age_ms);
  }
  return true;
}

bool SiblingTable::recent(const Status& status, TimePoint now) {
  return status.heard != TimePoint{} && now - status.heard <= kRecent;
}

TimePoint SiblingTable::last_heard(const std::string& node) const {
  const auto it = all_.find(node);
  return it == all_.end() || it->second.heard == TimePoint{} ? started_ : it->second.heard;
}

bool SiblingTable::fallen_silent(const std::string& node, TimePoint now) const {
  const auto it = all_.find(node);
  return it != all_.end() && it->second.heard != TimePoint{} && !recent(it->second, now);
}

bool SiblingTable::majority_misses(const std::string& leader, Duration silence,
                                   TimePoint now) const {
  if (all_.count(leader) == 0 || now - last_heard(leader) <= silence) return false;
  std::size_t missing = 1;
  for (const auto& [node, status] : all_) {
    if (node == leader || !recent(status, now) || status.leader != leader) continue;
    if (now - status.leader_heard > silence) ++missing;
  }
  const std::size_t nodes = all_.size() + 1;
  return missing > nodes / 2;
}

}  // namespace asterstair
