#include "leader/machine_registry.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <iterator>

#include "base/log.hpp"
#include "store/records.hpp"

namespace asterstair::leader {
namespace {

using cluster::Machine;

constexpr std::size_t kBytesPerName = 40;  // space reserved in a chunk for one machine name

// Describes the names in a record for the log: their number, the first and the last.
std::string describe(const std::set<std::string>& names) {
  if (names.empty()) return "no machines";
  return fmt::format("{} machines, {} to {}", names.size(), *names.begin(), *names.rbegin());
}

}  // namespace

void MachineRegistry::begin_load() {
  chunks_.clear();
  stale_ = true;
}

std::set<std::string> MachineRegistry::load_chunk(const wire::Item& item) {
  writer_.set_version(item.key, item.version);
  std::set<std::string> names;
  try {
    for (auto& name : store::decode_machine_registry(*item.value)) names.insert(std::move(name));
  } catch (const wire::DecodeError& error) {
    log::error("machine registry is malformed: {}", error.what());
  }
  log::debug("machine registry: {} read with {}", item.key, describe(names));
  chunks_.push_back(names);
  return names;
}

void MachineRegistry::log_loaded() const {
  std::size_t listed = 0;
  std::set<std::string> machines;
  for (const auto& names : chunks_) {
    listed += names.size();
    machines.insert(names.begin(), names.end());
  }
  log::info("machine registry: {} records with {} machines, {} names in more than one record",
            chunks_.size(), machines.size(), listed - machines.size());
}

bool MachineRegistry::may_hold_tasks(const std::string& name) const {
  const Machine* machine = machines_.find(name);
  return machine != nullptr && !machine->lease_expired;
}

// Drops the additions of machines that have been removed or are already registered.
void MachineRegistry::drop_obsolete_additions() {
  std::erase_if(additions_, [this](const std::string& name) {
    const Machine* machine = machines_.find(name);
    return machine == nullptr || machine->registered;
  });
}

// Returns the first chunk that has room for pending additions, or lists machines that have been
// removed or whose lease has expired. Adds a chunk if there are additions and no chunk has room.
std::optional<std::size_t> MachineRegistry::chunk_to_write(std::size_t names_per_chunk) {
  for (std::size_t chunk = 0; chunk < chunks_.size(); ++chunk) {
    const auto& names = chunks_[chunk];
    if (!additions_.empty() && names.size() < names_per_chunk) return chunk;
    const bool all_current =
        std::all_of(names.begin(), names.end(),
                    [this](const std::string& name) { return may_hold_tasks(name); });
    if (!all_current) return chunk;
  }
  if (additions_.empty()) return std::nullopt;
  chunks_.emplace_back();
  return chunks_.size() - 1;
}

std::set<std::string> MachineRegistry::names_to_keep(std::size_t chunk) const {
  std::set<std::string> names;
  std::copy_if(chunks_[chunk].begin(), chunks_[chunk].end(), std::inserter(names, names.end()),
               [this](const std::string& name) { return may_hold_tasks(name); });
  return names;
}

// Marks the machines that the next write removes from the chunk as not registered. This is done
// before the write is sent, so that a machine that returns gets no work until it is registered
// again.
void MachineRegistry::unregister_missing(std::size_t chunk,
                                         const std::set<std::string>& kept_names) {
  for (const auto& name : chunks_[chunk]) {
    if (kept_names.count(name) != 0) continue;
    if (Machine* machine = machines_.find(name)) machine->registered = false;
  }
}

// Fills the chunk's names up with additions, and returns the added names.
std::vector<std::string> MachineRegistry::take_additions(std::set<std::string>& names,
                                                         std::size_t names_per_chunk) const {
  std::vector<std::string> added;
  for (const auto& name : additions_) {
    if (names.size() >= names_per_chunk) break;
    names.insert(name);
    added.push_back(name);
  }
  return added;
}

void MachineRegistry::write() {
  if (write_in_flight_) return;
  drop_obsolete_additions();
  if (!stale_ && additions_.empty()) return;
  const std::size_t names_per_chunk = context_.settings.value_bytes / kBytesPerName;
  const auto chunk = chunk_to_write(names_per_chunk);
  if (!chunk) {
    stale_ = false;
    return;
  }
  auto names = names_to_keep(*chunk);
  unregister_missing(*chunk, names);
  auto added = take_additions(names, names_per_chunk);
  const std::vector<std::string> record(names.begin(), names.end());
  wire::Txn txn;
  txn.changes = {{store::machine_registry_key(*chunk), store::encode_machine_registry(record)}};
  write_in_flight_ = true;
  log::debug("machine registry: {} written with {}; before {}; {} added",
             store::machine_registry_key(*chunk), describe(names), describe(chunks_[*chunk]),
             added.size());
  auto on_done = [this, chunk = *chunk, names = std::move(names),
                  added = std::move(added)](bool committed) {
    write_in_flight_ = false;
    if (committed) on_written(chunk, names, added);
  };
  writer_.write(std::move(txn), store::Urgency::TaskStart, std::move(on_done));
}

void MachineRegistry::on_written(std::size_t chunk, const std::set<std::string>& names,
                                 const std::vector<std::string>& added) {
  chunks_[chunk] = names;
  for (const auto& name : added) {
    additions_.erase(name);
    if (Machine* machine = machines_.find(name)) machine->registered = true;
  }
}

}  // namespace asterstair::leader
