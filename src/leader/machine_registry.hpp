#pragma once
/// @file
/// The durable list of machines that may hold tasks.

#include <optional>
#include <set>
#include <string>
#include <vector>

#include "cluster/machine_table.hpp"
#include "leader/fenced_writer.hpp"
#include "leader/term_context.hpp"

namespace asterstair::leader {

/// Keeps the registry in the store, in chunks. A machine is registered before its first start, so
/// that the next leader waits for it before it starts the same tasks elsewhere. Owned by Term.
class MachineRegistry {
 public:
  /// All references outlive the registry.
  MachineRegistry(const TermContext& context, cluster::MachineTable& machines, FencedWriter& writer)
      : context_(context), machines_(machines), writer_(writer) {}

  /// Forgets what was loaded; load_chunk() follows for each chunk that the store has.
  void begin_load();
  /// Takes over a chunk, and returns the names in it.
  std::set<std::string> load_chunk(const wire::Item& item);
  /// The machine is to be registered; Machine::registered tells when that is durable.
  void request(const std::string& machine) { additions_.insert(machine); }
  /// The registry may name machines that are gone.
  void mark_stale() { stale_ = true; }
  /// Writes one chunk that differs from what it should be, if there is one and none is under way.
  void write();

 private:
  bool present(const std::string& machine) const;
  void drop_settled_additions();
  std::optional<std::size_t> chunk_to_write(std::size_t names_per_chunk);
  std::set<std::string> present_in(std::size_t chunk) const;
  void unregister_absent(std::size_t chunk, const std::set<std::string>& present_names);
  std::vector<std::string> take_additions(std::set<std::string>& names,
                                          std::size_t names_per_chunk) const;
  void on_written(std::size_t chunk, const std::set<std::string>& names,
                  const std::vector<std::string>& added);

  const TermContext& context_;
  cluster::MachineTable& machines_;
  FencedWriter& writer_;
  std::vector<std::set<std::string>> chunks_;  // as durable
  std::set<std::string> additions_;
  bool write_in_flight_ = false;
  bool stale_ = false;
};

}  // namespace asterstair::leader
