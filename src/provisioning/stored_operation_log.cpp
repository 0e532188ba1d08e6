#include "provisioning/stored_operation_log.hpp"

#include "base/log.hpp"
#include "provisioning/records.hpp"

namespace asterstair::provisioning {
namespace {

// Delay before a request is repeated after the state service refused it or did not answer.
constexpr auto kRetryDelay = 500ms;
// Interval between removals of Settled records.
constexpr auto kSweepInterval = 60s;
// Above this number of Settled records, a quarter of kMaxRecords, a new token is requested: Settled
// records can be removed only under a later token.
constexpr std::ptrdiff_t kMaxSettledRecords = kMaxRecords / 4;

}  // namespace

void StoredOperationLog::load(std::function<void(std::vector<Operation>)> done) {
  store_.list(kOperationPrefix,
              while_running([done = std::move(done)](StoredOperationLog& self,
                                                     const store::ListResult& result) {
                self.on_listed(result, done);
              }));
}

void StoredOperationLog::on_listed(const store::ListResult& result,
                                   std::function<void(std::vector<Operation>)> done) {
  if (!result.ok) {
    runtime_.after(kRetryDelay, while_running([done = std::move(done)](StoredOperationLog& self) {
                     self.load(done);
                   }));
    return;
  }
  auto operations = decode(result.items);
  for (const auto& operation : operations) entries_[operation.name].target = operation;
  for (const auto& item : result.items) {
    const auto entry = entries_.find(operation_name(item.key));
    if (entry != entries_.end()) entry->second.version = item.version;
  }
  sweep_later();
  done(std::move(operations));
}

// Skips records that cannot be decoded. They stay stored, so that an administrator can inspect
// them.
std::vector<Operation> StoredOperationLog::decode(const std::vector<wire::Item>& items) {
  std::vector<Operation> out;
  for (const auto& item : items) {
    try {
      out.push_back(decode_operation(item.key, *item.value));
    } catch (const wire::DecodeError& error) {
      if (!quarantined_.insert(item.key).second) continue;
      log::error("operation record {} is quarantined: {}", item.key, error.what());
    }
  }
  return out;
}

void StoredOperationLog::append(const Operation& operation,
                                std::function<void(AppendOutcome)> done) {
  Entry& entry = entries_[operation.name];
  entry.target = operation;
  entry.on_appended = std::move(done);
  write(operation.name);
}

void StoredOperationLog::update(const Operation& operation) {
  const auto it = entries_.find(operation.name);
  if (it == entries_.end()) return;
  Entry& entry = it->second;
  if (!is_valid_transition(operation.kind, entry.target.state, operation.state)) {
    log::error("operation {}: invalid transition to state {}", operation.name,
               to_string(operation.state));
    return;
  }
  entry.target = operation;
  entry.changed = true;
  write(operation.name);
}

void StoredOperationLog::remove(const std::string& name) {
  const auto it = entries_.find(name);
  if (it == entries_.end()) return;
  it->second.remove = true;
  it->second.changed = true;
  write(name);
}

// Sends one write of a record at a time: the next write needs the version that this one creates.
void StoredOperationLog::write(const std::string& name) {
  Entry& entry = entries_.at(name);
  if (entry.busy) return;
  entry.busy = true;
  entry.changed = false;
  if (entry.remove && entry.append_outcome_unknown) entry.target.state = OperationState::Settled;
  const auto kind =
      entry.remove && !entry.append_outcome_unknown ? WriteKind::Removal : WriteKind::Put;
  wire::Txn txn;
  txn.conditions = authority_.guards();
  txn.conditions.push_back({operation_key(name), entry.version});
  if (kind == WriteKind::Removal) {
    txn.changes.push_back({operation_key(name), std::nullopt});
  } else {
    txn.changes.push_back({operation_key(name), encode_operation(entry.target)});
  }
  const auto urgency = entry.on_appended ? store::Urgency::MachineOperation : store::Urgency::Lazy;
  store_.write(
      std::move(txn), urgency,
      while_running([name, kind](StoredOperationLog& self, const store::WriteResult& result) {
        self.on_written(name, kind, result);
      }));
}

void StoredOperationLog::retry_later(const std::string& name,
                                     void (StoredOperationLog::*attempt)(const std::string&)) {
  runtime_.after(kRetryDelay, while_running([name, attempt](StoredOperationLog& self) {
                   if (self.entries_.count(name) != 0) (self.*attempt)(name);
                 }));
}

void StoredOperationLog::on_written(const std::string& name, WriteKind kind,
                                    const store::WriteResult& result) {
  const auto it = entries_.find(name);
  if (it == entries_.end()) return;
  Entry& entry = it->second;
  entry.busy = false;
  switch (result.outcome) {
    case store::WriteOutcome::Committed:
      if (kind == WriteKind::Removal) {
        entries_.erase(it);
      } else {
        on_put(name, result.revision);
      }
      break;
    case store::WriteOutcome::NotApplied:
      on_not_done(name);
      break;
    case store::WriteOutcome::Unknown:
      if (entry.on_appended) entry.append_outcome_unknown = true;
      read_back(name);
      break;
    case store::WriteOutcome::Conflict:
      // An earlier unanswered write was executed, or the guards no longer hold.
      read_back(name);
      break;
  }
}

void StoredOperationLog::on_put(const std::string& name, std::uint64_t version) {
  Entry& entry = entries_.at(name);
  entry.version = version;
  if (entry.target.state == OperationState::Settled) entry.settled_token = authority_.token();
  const auto on_appended = std::exchange(entry.on_appended, nullptr);
  if (on_appended) on_appended(AppendOutcome::Durable);
  // The callback may have updated or removed the entry.
  const auto it = entries_.find(name);
  if (it != entries_.end() && it->second.changed) write(name);
}

void StoredOperationLog::on_not_done(const std::string& name) {
  Entry& entry = entries_.at(name);
  if (!entry.on_appended || entry.append_outcome_unknown) {
    retry_later(name, &StoredOperationLog::write);
    return;
  }
  const auto on_appended = std::move(entry.on_appended);
  entries_.erase(name);
  on_appended(AppendOutcome::Dropped);
}

// Reads the stored record after a write with an unknown outcome or a conflict.
void StoredOperationLog::read_back(const std::string& name) {
  entries_.at(name).busy = true;
  store_.get(operation_key(name),
             while_running([name](StoredOperationLog& self, const store::ReadResult& result) {
               self.on_read_back(name, result);
             }));
}

void StoredOperationLog::on_read_back(const std::string& name, const store::ReadResult& result) {
  const auto it = entries_.find(name);
  if (it == entries_.end()) return;
  if (result.outcome == store::ReadOutcome::Unavailable) {
    retry_later(name, &StoredOperationLog::read_back);
    return;
  }
  it->second.busy = false;
  if (result.outcome == store::ReadOutcome::Missing) {
    on_missing(name);
  } else {
    on_found(name, result.item.version);
  }
}

void StoredOperationLog::on_missing(const std::string& name) {
  Entry& entry = entries_.at(name);
  entry.version = 0;
  if (entry.on_appended) {
    retry_later(name, &StoredOperationLog::write);
  } else {
    entries_.erase(name);  // an earlier removal was executed
  }
}

void StoredOperationLog::on_found(const std::string& name, std::uint64_t version) {
  Entry& entry = entries_.at(name);
  const bool append_was_executed = entry.on_appended && entry.version == 0;
  if (append_was_executed) {
    on_put(name, version);
    return;
  }
  entry.version = version;
  retry_later(name, &StoredOperationLog::write);
}

void StoredOperationLog::sweep_later() {
  runtime_.after(kSweepInterval, while_running([](StoredOperationLog& self) { self.sweep(); }));
}

// Removes Settled records of earlier tokens. They are no longer needed, because a late write of the
// Pending record fails on its guards.
void StoredOperationLog::sweep() {
  sweep_later();
  if (!authority_.lease_valid()) return;
  std::ptrdiff_t settled = 0;
  for (auto& [name, entry] : entries_) {
    if (entry.settled_token == 0) continue;
    ++settled;
    if (entry.settled_token == authority_.token()) continue;
    entry.append_outcome_unknown = false;
    write(name);
  }
  if (settled > kMaxSettledRecords) authority_.renew_token();
}

}  // namespace asterstair::provisioning
