#pragma once
/// @file
/// Fenced writes of the keys that only the leader changes.

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
  /// Drops the version of a key that is deleted and will not be written again.
  void forget(const std::string& key) { versions_.erase(key); }

 private:
  void read_versions(const std::vector<std::string>& keys, const std::function<void()>& done);

  const TermContext& context_;
  std::map<std::string, std::uint64_t> versions_;  // 0: the key does not exist
};

}  // namespace asterstair::leader
