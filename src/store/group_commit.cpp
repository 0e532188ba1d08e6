#include "store/group_commit.hpp"

#include <algorithm>
#include <utility>
#include <vector>

namespace asterstair::store {
namespace {

// The state service accepts this many conditions in a transaction for each change that it may hold.
constexpr std::size_t kMaxConditionsPerChange = 4;
// Estimated bytes of a condition in a request, excluding its key.
constexpr std::size_t kConditionOverhead = 40;

}  // namespace

std::size_t estimate_size(const wire::Txn& txn) {
  std::size_t bytes = 0;
  for (const auto& change : txn.changes) bytes += wire::change_size(change);
  for (const auto& condition : txn.conditions) bytes += condition.key.size() + kConditionOverhead;
  return bytes;
}

void append(wire::Txn& group, const wire::Txn& txn) {
  group.conditions.insert(group.conditions.end(), txn.conditions.begin(), txn.conditions.end());
  group.changes.insert(group.changes.end(), txn.changes.begin(), txn.changes.end());
}

wire::Txn deduplicate_conditions(wire::Txn txn) {
  std::set<std::string> seen;
  std::vector<wire::Condition> kept;
  for (auto& condition : txn.conditions) {
    if (seen.insert(condition.key).second) kept.push_back(std::move(condition));
  }
  txn.conditions = std::move(kept);
  return txn;
}

bool GroupCommit::accepts(const wire::Txn& txn, std::size_t size) const {
  return has_room_for(txn, size) &&
         std::none_of(txn.conditions.begin(), txn.conditions.end(),
                      [this](const auto& condition) { return conflicts_with(condition); }) &&
         std::none_of(txn.changes.begin(), txn.changes.end(),
                      [this](const auto& change) { return uses_key(change.key); });
}

bool GroupCommit::has_room_for(const wire::Txn& txn, std::size_t size) const {
  const auto max_conditions = kMaxConditionsPerChange * max_changes_;
  return changes_ + txn.changes.size() <= max_changes_ && bytes_ + size <= kMaxGroupBytes &&
         required_versions_.size() + txn.conditions.size() <= max_conditions;
}

bool GroupCommit::conflicts_with(const wire::Condition& condition) const {
  if (changed_keys_.count(condition.key) != 0) return true;
  const auto required = required_versions_.find(condition.key);
  return required != required_versions_.end() && required->second != condition.version;
}

bool GroupCommit::uses_key(const std::string& key) const {
  return changed_keys_.count(key) != 0 || required_versions_.count(key) != 0;
}

void GroupCommit::add(const wire::Txn& txn, std::size_t size) {
  for (const auto& condition : txn.conditions) {
    required_versions_[condition.key] = condition.version;
  }
  for (const auto& change : txn.changes) changed_keys_.insert(change.key);
  changes_ += txn.changes.size();
  bytes_ += size;
}

}  // namespace asterstair::store
