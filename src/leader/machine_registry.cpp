#include "leader/machine_registry.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <iterator>

#include "base/log.hpp"
#include "store/records.hpp"

namespace asterstair::leader {
namespace {

using cluster::Machine;

constexpr std::size_t kBytesPerName = 40;  // space reserved in a record for one machine name

bool is_numbered(const std::string& key) {
  return store::parse_machine_registry_key(key).has_value();
}

// Whether no earlier version can have written one record over another. It takes a record's position
// for its number. So this holds if there are numbered records only, each at the position of its
// number. It also holds if there are none: this program has removed them, and an earlier version
// has written nothing since, because it writes numbered records only and removes none.
bool keys_in_place(const std::vector<wire::Item>& items) {
  std::size_t numbered = 0;
  std::size_t in_place = 0;
  for (std::size_t position = 0; position < items.size(); ++position) {
    const auto number = store::parse_machine_registry_key(items[position].key);
    if (!number) continue;
    ++numbered;
    if (*number == position) ++in_place;
  }
  return numbered == 0 || in_place == items.size();
}

// Describes the names in a record for the log: their number, the first and the last.
std::string describe(const std::set<std::string>& names) {
  if (names.empty()) return "no machines";
  return fmt::format("{} machines, {} to {}", names.size(), *names.begin(), *names.rbegin());
}

}  // namespace

std::set<std::string> MachineRegistry::load(const std::vector<wire::Item>& items) {
  records_.clear();
  copies_.clear();
  stale_ = true;
  for (const auto& item : items) load_record(item);
  const bool all_readable = std::none_of(records_.begin(), records_.end(), [](const auto& entry) {
    return entry.second.state == Record::State::Unreadable;
  });
  const bool in_place = keys_in_place(items);
  complete_ = all_readable && in_place;
  fixed_width_keys_ = !items.empty() && !is_numbered(items.front().key);
  if (!in_place) retire_numbered_records();
  std::set<std::string> machines;
  for (const auto& [key, record] : records_) {
    machines.insert(record.names.begin(), record.names.end());
  }
  log_loaded(machines);
  return machines;
}

void MachineRegistry::load_record(const wire::Item& item) {
  writer_.set_version(item.key, item.version);
  Record& record = records_[item.key];
  try {
    for (auto& name : store::decode_machine_registry(*item.value)) {
      record.names.insert(std::move(name));
    }
    log::debug("machine registry: {} read with {}", item.key, describe(record.names));
  } catch (const wire::DecodeError& error) {
    record = {Record::State::Unreadable, {}};
    log::error("machine registry: {} cannot be read and is kept as it is: {}", item.key,
               error.what());
  }
}

void MachineRegistry::retire_numbered_records() {
  fixed_width_keys_ = true;
  stale_ = true;
  std::set<std::string> in_use;
  for (auto& [key, record] : records_) {
    if (record.state != Record::State::InUse) continue;
    if (is_numbered(key)) {
      record.state = Record::State::Retired;
      copies_.insert(record.names.begin(), record.names.end());
    } else {
      in_use.insert(record.names.begin(), record.names.end());
    }
  }
  for (const auto& name : in_use) copies_.erase(name);
}

void MachineRegistry::log_loaded(const std::set<std::string>& machines) const {
  std::size_t listed = 0;
  for (const auto& [key, record] : records_) listed += record.names.size();
  log::info("machine registry: {} records with {} machines, {} names in more than one record",
            records_.size(), machines.size(), listed - machines.size());
}

std::size_t MachineRegistry::names_per_record() const {
  return context_.settings.value_bytes / kBytesPerName;
}

bool MachineRegistry::may_hold_tasks(const std::string& name) const {
  const Machine* machine = machines_.find(name);
  return machine != nullptr && !machine->lease_expired;
}

// Drops the additions of machines that have been removed or are already registered, and the copies
// of machines that cannot have tasks any more. The latter are marked as not registered, as in
// unregister_missing().
void MachineRegistry::drop_obsolete_names() {
  std::erase_if(additions_, [this](const std::string& name) {
    const Machine* machine = machines_.find(name);
    return machine == nullptr || machine->registered;
  });
  std::erase_if(copies_, [this](const std::string& name) {
    if (may_hold_tasks(name)) return false;
    if (Machine* machine = machines_.find(name)) machine->registered = false;
    return true;
  });
}

// Returns the first record in use that has room for names that wait, or lists machines that have
// been removed or whose lease has expired. Adds a record if names wait and no record has room.
std::optional<std::string> MachineRegistry::record_to_write() {
  for (const auto& [key, record] : records_) {
    if (record.state != Record::State::InUse) continue;
    if (has_names_to_add() && record.names.size() < names_per_record()) return key;
    const bool all_current =
        std::all_of(record.names.begin(), record.names.end(),
                    [this](const std::string& name) { return may_hold_tasks(name); });
    if (!all_current) return key;
  }
  if (!has_names_to_add()) return std::nullopt;
  return add_record();
}

std::string MachineRegistry::add_record() {
  const std::size_t count = records_.size();
  if (!fixed_width_keys_ && count >= store::kMaxNumberedRegistryRecords) retire_numbered_records();
  std::string key = store::machine_registry_key(count);
  if (fixed_width_keys_) key = unused_fixed_width_key();
  records_[key];
  return key;
}

std::string MachineRegistry::unused_fixed_width_key() const {
  std::size_t number = 0;
  while (records_.count(store::fixed_width_machine_registry_key(number)) != 0) ++number;
  return store::fixed_width_machine_registry_key(number);
}

std::set<std::string> MachineRegistry::names_to_keep(const std::string& key) const {
  const auto& names = records_.at(key).names;
  std::set<std::string> kept;
  std::copy_if(names.begin(), names.end(), std::inserter(kept, kept.end()),
               [this](const std::string& name) { return may_hold_tasks(name); });
  return kept;
}

// Marks the machines that the next write removes from the record as not registered. This is done
// before the write is sent, so that a machine that returns gets no work until it is registered
// again.
void MachineRegistry::unregister_missing(const std::string& key,
                                         const std::set<std::string>& kept_names) {
  for (const auto& name : records_.at(key).names) {
    if (kept_names.count(name) != 0) continue;
    if (Machine* machine = machines_.find(name)) machine->registered = false;
  }
}

// Fills the record's names up with names that wait, and returns these. New machines come first: no
// work is given to them before they are registered.
std::vector<std::string> MachineRegistry::take_names_to_add(std::set<std::string>& names) const {
  std::vector<std::string> added;
  for (const auto* waiting : {&additions_, &copies_}) {
    for (const auto& name : *waiting) {
      if (names.size() >= names_per_record()) return added;
      names.insert(name);
      added.push_back(name);
    }
  }
  return added;
}

void MachineRegistry::write() {
  if (write_in_flight_) return;
  drop_obsolete_names();
  if (!stale_ && !has_names_to_add()) return;
  if (const auto key = record_to_write()) {
    write_record(*key);
  } else if (const auto retired = record_to_remove()) {
    remove_record(*retired);
  } else {
    stale_ = std::any_of(records_.begin(), records_.end(), [](const auto& entry) {
      return entry.second.state == Record::State::Retired;
    });
  }
}

void MachineRegistry::write_record(const std::string& key) {
  auto names = names_to_keep(key);
  unregister_missing(key, names);
  auto added = take_names_to_add(names);
  const std::vector<std::string> record(names.begin(), names.end());
  wire::Txn txn;
  txn.changes = {{key, store::encode_machine_registry(record)}};
  write_in_flight_ = true;
  log::debug("machine registry: {} written with {}; before {}; {} added", key, describe(names),
             describe(records_.at(key).names), added.size());
  auto on_done = [this, key, names = std::move(names), added = std::move(added)](bool committed) {
    write_in_flight_ = false;
    if (committed) on_written(key, names, added);
  };
  writer_.write(std::move(txn), store::Urgency::TaskStart, std::move(on_done));
}

void MachineRegistry::on_written(const std::string& key, const std::set<std::string>& names,
                                 const std::vector<std::string>& added) {
  records_.at(key).names = names;
  for (const auto& name : added) {
    additions_.erase(name);
    copies_.erase(name);
    if (Machine* machine = machines_.find(name)) machine->registered = true;
  }
}

// Retired records show the next leader that the registry may be incomplete. They stay until the
// registry is complete without them.
std::optional<std::string> MachineRegistry::record_to_remove() const {
  if (!complete_ || has_names_to_add()) return std::nullopt;
  const auto retired = std::find_if(records_.begin(), records_.end(), [](const auto& entry) {
    return entry.second.state == Record::State::Retired;
  });
  if (retired == records_.end()) return std::nullopt;
  return retired->first;
}

void MachineRegistry::remove_record(const std::string& key) {
  wire::Txn txn;
  txn.changes = {{key, std::nullopt}};
  write_in_flight_ = true;
  log::debug("machine registry: {} removed", key);
  auto on_done = [this, key](bool committed) {
    write_in_flight_ = false;
    if (!committed) return;
    records_.erase(key);
    writer_.forget(key);
  };
  writer_.write(std::move(txn), store::Urgency::TaskStart, std::move(on_done));
}

}  // namespace asterstair::leader
