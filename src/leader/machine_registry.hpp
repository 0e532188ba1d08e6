#pragma once
/// @file
/// The durable registry of the machines that may run tasks.

#include <optional>
#include <set>
#include <string>
#include <vector>

#include "cluster/machine_table.hpp"
#include "leader/fenced_writer.hpp"
#include "leader/term_context.hpp"

namespace asterstair::leader {

/// Keeps the registry in the store, in chunks. A machine is registered before the first start
/// command is sent to it, so that the next leader waits for its heartbeat or the expiry of its
/// lease before it starts the same tasks elsewhere. Owned by Term.
class MachineRegistry {
 public:
  /// All references outlive the registry.
  MachineRegistry(const TermContext& context, cluster::MachineTable& machines, FencedWriter& writer)
      : context_(context), machines_(machines), writer_(writer) {}

  /// Discards the loaded chunks. Must be followed by load_chunk() for each chunk in the store.
  void begin_load();
  /// Loads a chunk, and returns the machine names in it.
  std::set<std::string> load_chunk(const wire::Item& item);
  /// Logs how many records and machines have been loaded.
  void log_loaded() const;
  /// Requests that the machine be registered. Machine::registered is set once that is durable.
  void request_registration(const std::string& machine) { additions_.insert(machine); }
  /// Records that the registry may list machines that have been removed or whose lease has expired.
  void mark_stale() { stale_ = true; }
  /// Writes one out-of-date chunk, if there is one and no write is in flight.
  void write();

 private:
  bool may_hold_tasks(const std::string& machine) const;
  void drop_obsolete_additions();
  std::optional<std::size_t> chunk_to_write(std::size_t names_per_chunk);
  std::set<std::string> names_to_keep(std::size_t chunk) const;
  void unregister_missing(std::size_t chunk, const std::set<std::string>& kept_names);
  std::vector<std::string> take_additions(std::set<std::string>& names,
                                          std::size_t names_per_chunk) const;
  void on_written(std::size_t chunk, const std::set<std::string>& names,
                  const std::vector<std::string>& added);

  const TermContext& context_;
  cluster::MachineTable& machines_;
  FencedWriter& writer_;
  std::vector<std::set<std::string>> chunks_;  // as stored
  std::set<std::string> additions_;
  bool write_in_flight_ = false;
  bool stale_ = false;
};

}  // namespace asterstair::leader
