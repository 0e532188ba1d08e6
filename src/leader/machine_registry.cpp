#include "leader/machine_registry.hpp"

#include <algorithm>
#include <iterator>

#include "base/log.hpp"
#include "store/records.hpp"

namespace asterstair::leader {
namespace {

using cluster::Machine;

constexpr std::size_t kBytesPerName = 40;  // reserved in a chunk

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
  chunks_.push_back(names);
  return names;
}

bool MachineRegistry::present(const std::string& name) const {
  const Machine* machine = machines_.find(name);
  return machine != nullptr && !machine->lease_expired;
}

// Machines that are gone, or registered already, need not be added.
void MachineRegistry::drop_settled_additions() {
  std::erase_if(additions_, [this](const std::string& name) {
    const Machine* machine = machines_.find(name);
    return machine == nullptr || machine->registered;
  });
}

// The first chunk that names machines that are gone, or has room for additions; a new one if need
// be.
std::optional<std::size_t> MachineRegistry::chunk_to_write(std::size_t names_per_chunk) {
  for (std::size_t chunk = 0; chunk < chunks_.size(); ++chunk) {
    const auto& names = chunks_[chunk];
    if (!additions_.empty() && names.size() < names_per_chunk) return chunk;
    const bool all_present = std::all_of(names.begin(), names.end(),
                                         [this](const std::string& name) { return present(name); });
    if (!all_present) return chunk;
  }
  if (additions_.empty()) return std::nullopt;
  chunks_.emplace_back();
  return chunks_.size() - 1;
}

std::set<std::string> MachineRegistry::present_in(std::size_t chunk) const {
  std::set<std::string> names;
  std::copy_if(chunks_[chunk].begin(), chunks_[chunk].end(), std::inserter(names, names.end()),
               [this](const std::string& name) { return present(name); });
  return names;
}

// Done before the write is sent: a machine that comes back gets no work until it is registered
// again.
void MachineRegistry::unregister_absent(std::size_t chunk,
                                        const std::set<std::string>& present_names) {
  for (const auto& name : chunks_[chunk]) {
    if (present_names.count(name) != 0) continue;
    if (Machine* machine = machines_.find(name)) machine->registered = false;
  }
}

// Fills the chunk's names up with additions, and returns these.
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
  drop_settled_additions();
  if (!stale_ && additions_.empty()) return;
  const std::size_t names_per_chunk = context_.settings.value_bytes / kBytesPerName;
  const auto chunk = chunk_to_write(names_per_chunk);
  if (!chunk) {
    stale_ = false;
    return;
  }
  auto names = present_in(*chunk);
  unregister_absent(*chunk, names);
  auto added = take_additions(names, names_per_chunk);
  const std::vector<std::string> record(names.begin(), names.end());
  wire::Txn txn;
  txn.changes = {{store::machine_registry_key(*chunk), store::encode_machine_registry(record)}};
  write_in_flight_ = true;
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
