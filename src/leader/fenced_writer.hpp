#pragma once
/// @file
/// Writes of the keys that only the leader changes.

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "leader/term_context.hpp"

namespace asterstair::leader {

/// Writes keys under compare-and-swap on the leader key (fencing) and on their own versions. A
/// write that was never answered may be carried out late; being conditional on the versions, it
/// cannot undo a newer one. Owned by Term.
class FencedWriter {
 public:
  /// Told whether the write was committed.
  using Done = std::function<void(bool committed)>;

  /// The context outlives the writer.
  explicit FencedWriter(const TermContext& context) : context_(context) {}

  /// Sends the transaction with the conditions added. `done` runs only while the term lasts. After
  /// an unknown outcome it runs once the versions that stand have been read, so that the caller may
  /// try again.
  void write(wire::Txn txn, store::Urgency urgency, Done done);
  /// The key was read, and had this version.
  void set_version(const std::string& key, std::uint64_t version) { versions_[key] = version; }
  /// The key is gone for good.
  void forget(const std::string& key) { versions_.erase(key); }

 private:
  void read_versions(const std::vector<std::string>& keys, const std::function<void()>& done);

  const TermContext& context_;
  std::map<std::string, std::uint64_t> versions_;  // 0: the key does not exist
};

}  // namespace asterstair::leader
