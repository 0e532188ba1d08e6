#pragma once
/// @file
/// Fenced writes of the keys that only the leader changes.

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "leader/term_context.hpp"

namespace asterstair::leader {

/// Writes keys by compare-and-swap on the version of the leader key (fencing) and on their own
/// versions. A write that got no response may be carried out late. The condition on the versions
/// prevents it from overwriting a newer write. Owned by Term.
class FencedWriter {
 public:
  /// Callback that receives whether the write was committed.
  using Done = std::function<void(bool committed)>;

  /// The context outlives the writer.
  explicit FencedWriter(const TermContext& context) : context_(context) {}

  /// Adds the conditions to the transaction and sends it. `done` runs only while the term lasts.
  /// After a conflict or an unknown outcome it runs once the current versions have been read, so
  /// that the caller can retry.
  void write(wire::Txn txn, store::Urgency urgency, Done done);
  /// Records the version that the key had when it was read.
  void set_version(const std::string& key, std::uint64_t version) { versions_[key] = version; }
  /// Records that the key's value could not be decoded. The first write of the key stores a copy of
  /// the value beside it, in the same transaction.
  void preserve(const std::string& key, const wire::Json& value) { unreadable_[key] = value; }
  /// Number of changes that a write of the key adds to a transaction.
  std::size_t changes_per_write(const std::string& key) const {
    return unreadable_.count(key) != 0 ? 2 : 1;
  }
  /// Drops what is known of a key that is deleted and will not be written again.
  void forget(const std::string& key) {
    versions_.erase(key);
    unreadable_.erase(key);
  }

 private:
  void add_copies(const std::vector<std::string>& keys, wire::Txn& txn) const;
  void read_versions(const std::vector<std::string>& keys, const std::function<void()>& done);

  const TermContext& context_;
  std::map<std::string, std::uint64_t> versions_;  // 0: the key does not exist
  std::map<std::string, wire::Json> unreadable_;   // values that the next write must preserve
};

}  // namespace asterstair::leader
