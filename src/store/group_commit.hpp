#pragma once
/// @file
/// Group commit: several transactions that do not touch one another travel as one.

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>

#include "wire/state.hpp"

namespace asterstair::store {

/// Largest request for a group of transactions, in estimated bytes. PROTOCOL bounds bodies.
inline constexpr std::size_t kMaxGroupBytes = std::size_t{60} * 1024;

/// Returns about the bytes that a transaction takes in a request.
std::size_t estimate_size(const wire::Txn& txn);

/// Appends the conditions and changes of `txn` to `group`.
void append(wire::Txn& group, const wire::Txn& txn);

/// Removes conditions on a key that an earlier condition names. The transactions of a group may
/// share conditions, which then require the same version.
wire::Txn without_repeated_conditions(wire::Txn txn);

/// Decides which transactions may join a group, from the keys and sizes of those in it. WriteQueue
/// makes one for each request.
///
/// A transaction may not touch a key that another one of its group changes: the state service
/// checks all conditions before it carries out any change.
class GroupCommit {
 public:
  /// @param max_changes  most changes in one transaction of the state service (`txn_ops`)
  explicit GroupCommit(std::size_t max_changes) : max_changes_(max_changes) {}

  /// Whether a transaction of `size` bytes may join those added so far.
  bool accepts(const wire::Txn& txn, std::size_t size) const;

  /// Adds a transaction, without a check: the first of a group travels whatever its size.
  void add(const wire::Txn& txn, std::size_t size);

 private:
  bool has_room_for(const wire::Txn& txn, std::size_t size) const;
  bool contradicts(const wire::Condition& condition) const;
  bool touches(const std::string& key) const;

  std::size_t max_changes_;
  std::size_t changes_ = 0;
  std::size_t bytes_ = 0;
  std::map<std::string, std::uint64_t> required_versions_;
  std::set<std::string> changed_keys_;
};

}  // namespace asterstair::store
