#pragma once
/// @file
/// Group commit: several independent transactions are sent as one transaction.

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>

#include "wire/state.hpp"

namespace asterstair::store {

/// Maximum estimated size of the request for a group, in bytes. The protocol of the state service
/// bounds request bodies.
inline constexpr std::size_t kMaxGroupBytes = std::size_t{60} * 1024;

/// Returns the estimated size of a transaction in a request, in bytes.
std::size_t estimate_size(const wire::Txn& txn);

/// Appends the conditions and changes of `txn` to `group`.
void append(wire::Txn& group, const wire::Txn& txn);

/// Keeps only the first condition on each key. Transactions of a group may have conditions on the
/// same key; GroupCommit ensures that these require the same version.
wire::Txn deduplicate_conditions(wire::Txn txn);

/// Decides which transactions may join a group, from the keys and sizes of its members. WriteQueue
/// creates an instance for each request.
///
/// A transaction must neither change nor have a condition on a key that another transaction of the
/// group changes: the state service checks all conditions before it applies any change.
class GroupCommit {
 public:
  /// @param max_changes  maximum changes in one transaction of the state service (`txn_ops`)
  explicit GroupCommit(std::size_t max_changes) : max_changes_(max_changes) {}

  /// Returns whether a transaction of `size` bytes may join the transactions added so far.
  bool accepts(const wire::Txn& txn, std::size_t size) const;

  /// Adds a transaction without a check: the first transaction of a group is sent whatever its
  /// size.
  void add(const wire::Txn& txn, std::size_t size);

 private:
  bool has_room_for(const wire::Txn& txn, std::size_t size) const;
  bool conflicts_with(const wire::Condition& condition) const;
  bool uses_key(const std::string& key) const;

  std::size_t max_changes_;
  std::size_t changes_ = 0;
  std::size_t bytes_ = 0;
  std::map<std::string, std::uint64_t> required_versions_;
  std::set<std::string> changed_keys_;
};

}  // namespace asterstair::store
