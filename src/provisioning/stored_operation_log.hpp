#pragma once
/// @file
/// Operation log in the state service. Created by ProvisioningController for each term.

#include <map>
#include <memory>
#include <set>

#include "base/runtime.hpp"
#include "base/stoppable.hpp"
#include "provisioning/fencing_authority.hpp"
#include "provisioning/operation_log.hpp"
#include "store/store.hpp"

namespace asterstair::provisioning {

/// Maximum number of records, both Pending ones and those that are kept for some time. It bounds
/// what a new leader has to read: a record has at most value_kb (a setting), typically 300 bytes.
inline constexpr std::size_t kMaxRecords = 512;

/// Stores one record for each operation. Every write is a compare-and-swap on the authority's
/// guards and on the record's own version, so a write that is executed late overwrites nothing
/// newer.
class StoredOperationLog : public OperationLog, public Stoppable<StoredOperationLog> {
 public:
  /// All references must outlive the log and its callbacks.
  StoredOperationLog(Runtime& runtime, store::Store& store, FencingAuthority& authority)
      : runtime_(runtime), store_(store), authority_(authority) {}

  void load(std::function<void(std::vector<Operation>)> done) override;
  bool has_room() const override { return entries_.size() < kMaxRecords; }
  void append(const Operation& operation, std::function<void(AppendOutcome)> done) override;
  void update(const Operation& operation) override;
  void remove(const std::string& name) override;

 private:
  struct Entry {
    Operation target;           ///< desired content of the record
    bool remove = false;        ///< the record is to be removed
    std::uint64_t version = 0;  ///< version of the stored record; 0: not known to exist
    bool busy = false;          ///< a write is in progress, or a read of the record after a write
    bool changed = false;       ///< `target` or `remove` changed after the last write was sent
    /// A write of the Pending record was not answered, and may be executed later. The record must
    /// stay while the token is valid: without it the late write would create the operation again.
    bool append_outcome_unknown = false;
    std::uint64_t settled_token = 0;  ///< token under which it became Settled; 0: not Settled
    std::function<void(AppendOutcome)> on_appended;  ///< empty once the outcome is known
  };
  /// What a write does to a record.
  enum class WriteKind {
    Put,     ///< writes the operation's state
    Removal  ///< removes the record
  };

  void on_listed(const store::ListResult& result, std::function<void(std::vector<Operation>)> done);
  std::vector<Operation> decode(const std::vector<wire::Item>& items);
  void write(const std::string& name);
  void on_written(const std::string& name, WriteKind kind, const store::WriteResult& result);
  void on_put(const std::string& name, std::uint64_t version);
  void on_not_done(const std::string& name);
  void read_back(const std::string& name);
  void on_read_back(const std::string& name, const store::ReadResult& result);
  void on_missing(const std::string& name);
  void on_found(const std::string& name, std::uint64_t version);
  void retry_later(const std::string& name,
                   void (StoredOperationLog::*attempt)(const std::string&));
  void sweep_later();
  void sweep();

  Runtime& runtime_;
  store::Store& store_;
  FencingAuthority& authority_;
  std::map<std::string, Entry> entries_;  ///< by name of the operation
  std::set<std::string> quarantined_;     ///< keys of records that cannot be decoded; logged once
};

}  // namespace asterstair::provisioning
