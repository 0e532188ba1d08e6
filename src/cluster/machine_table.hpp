#pragma once
/// @file
/// The leader's table of machines, brought up to date by heartbeats. Pure state: no I/O, no clock.

#include <map>
#include <string>
#include <vector>

#include "base/model.hpp"
#include "base/time.hpp"
#include "cluster/machine.hpp"

namespace asterstair::cluster {

/// What a heartbeat, or the end of a lease, says about an attempt.
struct TaskEvent {
  /// What has happened.
  enum class Kind {
    Adopted,     ///< reported, and not known before
    Started,     ///< reported for the first time after its start command was sent
    Running,     ///< reported as running for the first time
    Exited,      ///< reported as exited
    NotStarted,  ///< surely not started, and never will be
    Vanished     ///< was there, and is gone without an exit
  };
  /// What has happened.
  Kind kind;
  TaskAttempt attempt;  ///< a copy: as it was, or is, at that moment
};

/// All machines by their names. Owned by cluster::ClusterState.
class MachineTable {
 public:
  /// Whether a heartbeat changed anything.
  enum class Order {
    New,  ///< it was applied
    Late  ///< it is not newer than what was applied, and changed nothing
  };
  /// How a heartbeat reached the leader.
  enum class Source {
    Heartbeat,    ///< sent by the worker
    DirectAnswer  ///< the response to a command that was sent directly
  };

  /// The machine; added if it is missing.
  Machine& at(const std::string& id) { return machines_[id]; }
  /// The machine, or null.
  Machine* find(const std::string& id);
  /// The machine, or null.
  const Machine* find(const std::string& id) const;
  /// All machines, by name.
  std::map<std::string, Machine>& all() { return machines_; }
  /// All machines, by name.
  const std::map<std::string, Machine>& all() const { return machines_; }
  /// Removes the machine; no effect if it is not there.
  void erase(const std::string& id) { machines_.erase(id); }

  /// Applies a heartbeat that was sent under this leader's token. A late one changes nothing.
  /// \param cache_gb capacity of the machine's image cache in GB; 0: unknown
  /// \param events receives what follows for the attempts, in the order of the heartbeat
  Order apply(const Heartbeat& heartbeat, TimePoint now, double cache_gb,
              std::vector<TaskEvent>& events, Source source = Source::Heartbeat);
  /// Removes all attempts: the machine's lease has surely expired, or the cloud has confirmed that
  /// the machine is gone.
  static void clear(Machine& machine, std::vector<TaskEvent>& events);

 private:
  std::map<std::string, Machine> machines_;
};

}  // namespace asterstair::cluster
