#pragma once
/// @file
/// The durable registry of the machines that may run tasks.

#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "cluster/machine_table.hpp"
#include "leader/fenced_writer.hpp"
#include "leader/term_context.hpp"

namespace asterstair::leader {

/// Keeps the registry in the store, in several records. A machine is registered before the first
/// start command is sent to it, so that the next leader waits for its heartbeat or the expiry of
/// its lease before it starts the same tasks elsewhere. Owned by Term.
///
/// A registry that needs more than ten records moves to fixed-width keys, see
/// store/machine_registry_records.hpp: its numbered records are retired. Their names are copied to
/// other records first, and only then are they removed, so each name is in a record at all times.
class MachineRegistry {
 public:
  /// All references outlive the registry.
  MachineRegistry(const TermContext& context, cluster::MachineTable& machines, FencedWriter& writer)
      : context_(context), machines_(machines), writer_(writer) {}

  /// Loads all records. Returns the machine names in them.
  /// \param items the records in the store, in key order
  std::set<std::string> load(const std::vector<wire::Item>& items);
  /// Whether the registry lists every machine that may have tasks, apart from requested
  /// registrations. It may not if a record cannot be decoded, or if an earlier version may have
  /// written one record over another.
  bool complete() const { return complete_; }
  /// Records that registration has been requested for each machine that may have tasks.
  void confirm_complete() { complete_ = true; }
  /// Requests that the machine be registered. Machine::registered is set once that is durable.
  void request_registration(const std::string& machine) { additions_.insert(machine); }
  /// Records that the registry may list machines that have been removed or whose lease has expired.
  void mark_stale() { stale_ = true; }
  /// Writes one out-of-date record, if there is one and no write is in flight.
  void write();

 private:
  struct Record {
    /// What may be done with a record.
    enum class State {
      InUse,      ///< holds registered names, and receives new ones
      Retired,    ///< removed once all its names are in records in use
      Unreadable  ///< cannot be decoded; kept as it is
    };
    State state = State::InUse;
    std::set<std::string> names;  // as stored
  };
  using Records = std::map<std::string, Record>;  // by key

  void load_record(const wire::Item& item);
  void retire_numbered_records();
  void log_loaded(const std::set<std::string>& machines) const;
  bool may_hold_tasks(const std::string& machine) const;
  void drop_obsolete_names();
  bool has_names_to_add() const { return !additions_.empty() || !copies_.empty(); }
  std::optional<std::string> record_to_write();
  std::string add_record();
  std::string unused_fixed_width_key() const;
  std::set<std::string> names_to_keep(const std::string& key) const;
  void unregister_missing(const std::string& key, const std::set<std::string>& kept_names);
  std::vector<std::string> take_names_to_add(std::set<std::string>& names) const;
  void write_record(const std::string& key);
  void on_written(const std::string& key, const std::set<std::string>& names,
                  const std::vector<std::string>& added);
  std::optional<std::string> record_to_remove() const;
  void remove_record(const std::string& key);
  std::size_t names_per_record() const;

  const TermContext& context_;
  cluster::MachineTable& machines_;
  FencedWriter& writer_;
  Records records_;
  std::set<std::string> additions_;  // names that are to be registered
  std::set<std::string> copies_;     // names in retired records only
  bool fixed_width_keys_ = false;    // for new records
  bool complete_ = false;
  bool write_in_flight_ = false;
  bool stale_ = false;
};

}  // namespace asterstair::leader
