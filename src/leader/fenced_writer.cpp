#include "leader/fenced_writer.hpp"

#include <memory>

#include "store/records.hpp"

namespace asterstair::leader {

void FencedWriter::write(wire::Txn txn, store::Urgency urgency, Done done) {
  std::vector<std::string> keys;
  for (const auto& change : txn.changes) {
    keys.push_back(change.key);
    txn.conditions.push_back({change.key, versions_[change.key]});
  }
  txn.conditions.push_back(context_.election.guard());
  add_copies(keys, txn);
  auto on_result = [this, keys, done = std::move(done)](const store::WriteResult& result) {
    if (result.outcome == store::WriteOutcome::Committed) {
      for (const auto& key : keys) {
        versions_[key] = result.revision;
        unreadable_.erase(key);
      }
      done(true);
    } else if (result.outcome == store::WriteOutcome::NotApplied) {
      done(false);
    } else {
      // This write or an earlier one got no response and was carried out, or may still be.
      read_versions(keys, [done] { done(false); });
    }
  };
  context_.store.write(std::move(txn), urgency, context_.while_alive(std::move(on_result)));
}

void FencedWriter::add_copies(const std::vector<std::string>& keys, wire::Txn& txn) const {
  for (const auto& key : keys) {
    const auto unreadable = unreadable_.find(key);
    if (unreadable == unreadable_.end()) continue;
    txn.changes.push_back({store::unreadable_copy_key(key), unreadable->second});
  }
}

void FencedWriter::read_versions(const std::vector<std::string>& keys,
                                 const std::function<void()>& done) {
  auto pending = std::make_shared<std::size_t>(keys.size());
  for (const auto& key : keys) {
    auto on_result = [this, key, pending, done](const store::ReadResult& result) {
      if (result.outcome == store::ReadOutcome::Found) versions_[key] = result.item.version;
      if (result.outcome == store::ReadOutcome::Missing) versions_[key] = 0;
      if (--*pending == 0) done();
    };
    context_.store.get(key, context_.while_alive(std::move(on_result)));
  }
}

}  // namespace asterstair::leader
