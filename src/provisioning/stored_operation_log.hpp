#pragma once
// The operation log in the state service. Every write is conditional on the authority's guards and
// on the record's own version, so that one that is carried out late undoes nothing newer.

#include <map>
#include <memory>
#include <set>

#include "base/runtime.hpp"
#include "provisioning/fencing_authority.hpp"
#include "provisioning/operation_log.hpp"
#include "store/store.hpp"

namespace asterstair::provisioning {

// Records at a time, open ones and those kept for a while; at most value_kb each, mostly some 300
// bytes.
inline constexpr std::size_t kMostRecords = 512;

class StoredOperationLog : public OperationLog,
                           public std::enable_shared_from_this<StoredOperationLog> {
 public:
  StoredOperationLog(Runtime& runtime, store::Store& store, FencingAuthority& authority)
      : runtime_(runtime), store_(store), authority_(authority) {}

  void load(std::function<void(std::vector<Operation>)> done) override;
  bool has_room() const override { return entries_.size() < kMostRecords; }
  void begin(const Operation& operation, std::function<void(bool durable)> done) override;
  void update(const Operation& operation) override;
  void remove(const std::string& name) override;
  // Nothing is written any more: the term is over.
  void stop() { stopped_ = true; }

 private:
  struct Entry {
    Operation wanted;
    bool removing = false;
    std::uint64_t version = 0;  // of the record; 0: none is known to be there
    bool writing = false, dirty = false;
    // A write of its beginning went unanswered: it may yet be carried out. While the token lasts
    // the record must stay, or the late copy would bring the operation back.
    bool doubtful = false;
    std::uint64_t settled_under = 0;          // the token; 0: not settled
    std::function<void(bool durable)> begun;  // until that is known
  };

  void write(const std::string& name);
  void write_later(const std::string& name);
  void written(const std::string& name, bool removal, const store::WriteResult& result);
  void committed(const std::string& name, bool removal, std::uint64_t revision);
  void not_done(const std::string& name);
  void read_back(const std::string& name);
  void read_back_answer(const std::string& name, const store::ReadResult& result);
  void sweep_later();
  void sweep();
  std::vector<Operation> decode(const std::vector<wire::Item>& items);
  template <typename Action>
  auto while_running(Action action);

  Runtime& runtime_;
  store::Store& store_;
  FencingAuthority& authority_;
  bool stopped_ = false;
  std::map<std::string, Entry> entries_;
  std::set<std::string> quarantined_;  // keys, told once
};

}  // namespace asterstair::provisioning
