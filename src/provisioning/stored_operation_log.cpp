#include "provisioning/stored_operation_log.hpp"

#include "base/log.hpp"
#include "provisioning/records.hpp"

namespace asterstair::provisioning {
namespace {

constexpr auto kRetry = 500ms;
constexpr auto kSweepEvery = 60s;
// With more settled records than this a new token is asked for, under which they can be removed.
constexpr std::ptrdiff_t kMostSettled = kMostRecords / 4;

}  // namespace

// Wraps a callback so that it does nothing once the term is over.
template <typename Action>
auto StoredOperationLog::while_running(Action action) {
  return [self = weak_from_this(), action = std::move(action)](const auto&... answer) {
    const auto operation_log = self.lock();
    if (operation_log && !operation_log->stopped_) action(*operation_log, answer...);
  };
}

std::vector<Operation> StoredOperationLog::decode(const std::vector<wire::Item>& items) {
  std::vector<Operation> out;
  for (const auto& item : items) {
    try {
      out.push_back(decode_operation(item.key, *item.value));
    } catch (const wire::DecodeError& e) {
      // Left alone for an operator to look at: nothing is started for its sake.
      if (!quarantined_.insert(item.key).second) continue;
      log::error("ledger record {} is quarantined: {}", item.key, e.what());
    }
  }
  return out;
}

void StoredOperationLog::load(std::function<void(std::vector<Operation>)> done) {
  store_.list(
      kOperationPrefix, while_running([done](StoredOperationLog& self, const store::ListResult& r) {
        if (!r.ok) {
          self.runtime_.after(kRetry, self.while_running([done](StoredOperationLog& operation_log) {
            operation_log.load(done);
          }));
          return;
        }
        auto operations = self.decode(r.items);
        for (const auto& o : operations) self.entries_[o.name].wanted = o;
        for (const auto& item : r.items) {
          const auto name = item.key.substr(std::string_view(kOperationPrefix).size());
          const auto entry = self.entries_.find(name);
          if (entry != self.entries_.end()) entry->second.version = item.version;
        }
        self.sweep_later();
        done(std::move(operations));
      }));
}

void StoredOperationLog::begin(const Operation& operation, std::function<void(bool durable)> done) {
  Entry& entry = entries_[operation.name];
  entry.wanted = operation;
  entry.begun = std::move(done);
  write(operation.name);
}

void StoredOperationLog::update(const Operation& operation) {
  const auto it = entries_.find(operation.name);
  if (it == entries_.end()) return;
  if (!is_legal(operation.kind, it->second.wanted.state, operation.state)) {
    log::error("operation {} cannot become {}", operation.name, word(operation.state));
    return;
  }
  it->second.wanted = operation;
  it->second.dirty = true;
  write(operation.name);
}

void StoredOperationLog::remove(const std::string& name) {
  const auto it = entries_.find(name);
  if (it == entries_.end()) return;
  it->second.removing = true;
  it->second.dirty = true;
  write(name);
}

// One write of a record is under way at a time: the next one needs the version that it gets.
void StoredOperationLog::write(const std::string& name) {
  Entry& entry = entries_.at(name);
  if (entry.writing) return;
  entry.writing = true;
  entry.dirty = false;
  wire::Txn txn;
  txn.conditions = authority_.guards();
  txn.conditions.push_back({operation_key(name), entry.version});
  if (entry.removing && entry.doubtful) entry.wanted.state = OperationState::Settled;
  const bool removal = entry.removing && !entry.doubtful;
  if (removal) {
    txn.changes.push_back({operation_key(name), std::nullopt});
  } else {
    txn.changes.push_back({operation_key(name), encode_operation(entry.wanted)});
  }
  const auto urgency = entry.begun ? store::Urgency::Order : store::Urgency::Lazy;
  store_.write(
      std::move(txn), urgency,
      while_running([name, removal](StoredOperationLog& self, const store::WriteResult& r) {
        self.written(name, removal, r);
      }));
}

void StoredOperationLog::write_later(const std::string& name) {
  runtime_.after(kRetry, while_running([name](StoredOperationLog& self) {
                   if (self.entries_.count(name) != 0) self.write(name);
                 }));
}

void StoredOperationLog::written(const std::string& name, bool removal,
                                 const store::WriteResult& r) {
  const auto it = entries_.find(name);
  if (it == entries_.end()) return;
  it->second.writing = false;
  switch (r.outcome) {
    case store::WriteOutcome::Committed:
      committed(name, removal, r.revision);
      break;
    case store::WriteOutcome::NotDone:
      not_done(name);
      break;
    case store::WriteOutcome::Unknown:
      if (it->second.begun) it->second.doubtful = true;
      read_back(name);
      break;
    case store::WriteOutcome::Conflict:
      // An earlier unanswered write was carried out, or the guards do not hold any more.
      read_back(name);
      break;
  }
}

void StoredOperationLog::committed(const std::string& name, bool removal, std::uint64_t revision) {
  Entry& entry = entries_.at(name);
  if (removal) {
    entries_.erase(name);
    return;
  }
  entry.version = revision;
  if (entry.wanted.state == OperationState::Settled) entry.settled_under = authority_.token();
  if (const auto begun = std::exchange(entry.begun, nullptr)) begun(true);
  // The callback may have recorded a result, or removed the entry.
  const auto it = entries_.find(name);
  if (it != entries_.end() && it->second.dirty) write(name);
}

void StoredOperationLog::not_done(const std::string& name) {
  Entry& entry = entries_.at(name);
  if (!entry.begun || entry.doubtful) {
    write_later(name);
    return;
  }
  const auto begun = std::move(entry.begun);
  entries_.erase(name);
  begun(false);
}

void StoredOperationLog::read_back(const std::string& name) {
  entries_.at(name).writing = true;
  store_.get(operation_key(name),
             while_running([name](StoredOperationLog& self, const store::ReadResult& r) {
               self.read_back_answer(name, r);
             }));
}

void StoredOperationLog::read_back_answer(const std::string& name, const store::ReadResult& r) {
  const auto it = entries_.find(name);
  if (it == entries_.end()) return;
  Entry& entry = it->second;
  entry.writing = false;
  if (r.outcome == store::ReadOutcome::Unavailable) {
    entry.writing = true;
    runtime_.after(kRetry, while_running([name](StoredOperationLog& self) {
                     if (self.entries_.count(name) != 0) self.read_back(name);
                   }));
    return;
  }
  if (r.outcome == store::ReadOutcome::Missing) {
    entry.version = 0;
    if (!entry.begun) {
      entries_.erase(name);  // a removal was carried out
    } else {
      write_later(name);
    }
    return;
  }
  const bool was_begun_here = entry.begun && entry.version == 0;
  entry.version = r.item.version;
  if (was_begun_here) {
    committed(name, false, r.item.version);
  } else {
    write_later(name);
  }
}

void StoredOperationLog::sweep_later() {
  runtime_.after(kSweepEvery, while_running([](StoredOperationLog& self) { self.sweep(); }));
}

// Removes settled records whose beginning cannot be carried out any more: its guards name a token
// that has gone by.
void StoredOperationLog::sweep() {
  sweep_later();
  if (!authority_.lease_valid()) return;
  std::ptrdiff_t settled = 0;
  for (auto& [name, entry] : entries_) {
    if (entry.settled_under == 0) continue;
    ++settled;
    if (entry.settled_under == authority_.token()) continue;
    entry.doubtful = false;
    write(name);
  }
  if (settled > kMostSettled) authority_.renew_token();
}

}  // namespace asterstair::provisioning
