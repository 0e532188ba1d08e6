#pragma once
/// @file
/// The leader's table of machines, updated by heartbeats. Pure state: no I/O, no clock.

#include <map>
#include <string>
#include <vector>

#include "base/model.hpp"
#include "base/time.hpp"
#include "cluster/machine.hpp"

namespace asterstair::cluster {

/// A change of an attempt that follows from a heartbeat or from an expired lease.
struct TaskEvent {
  /// Kind of the change.
  enum class Kind {
    Adopted,     ///< reported by the worker, but not known to this leader before
    Started,     ///< reported for the first time after its start command was sent
    Running,     ///< reported as running for the first time
    Exited,      ///< reported as exited
    NotStarted,  ///< has not started, and will not start
    Vanished     ///< was there, or may have been, and was lost without a reported exit
  };
  /// Kind of the change.
  Kind kind;
  TaskAttempt attempt;  ///< a copy, from the time of the change
};

/// All machines by their names. Owned by cluster::ClusterState.
class MachineTable {
 public:
  /// Whether a heartbeat was applied.
  enum class ApplyResult {
    Applied,  ///< it was applied
    Stale     ///< it was ignored: not newer than the last applied one, or of an expired epoch
  };
  /// How a heartbeat reached the leader.
  enum class Source {
    Heartbeat,      ///< sent by the worker
    DirectResponse  ///< the response to a direct command
  };

  /// The machine; adds it if it is missing.
  Machine& at(const std::string& id) { return machines_[id]; }
  /// The machine, or null.
  Machine* find(const std::string& id);
  /// The machine, or null.
  const Machine* find(const std::string& id) const;
  /// All machines, by name.
  std::map<std::string, Machine>& all() { return machines_; }
  /// All machines, by name.
  const std::map<std::string, Machine>& all() const { return machines_; }
  /// Removes the machine; no effect if it is not in the table.
  void erase(const std::string& id) { machines_.erase(id); }

  /// Applies a heartbeat that was sent with this leader's token. A stale one has no effect.
  /// \param cache_gb capacity of the machine's image cache in GB; 0: unknown
  /// \param events receives the changes of attempts: first those of a lost epoch, then those of the
  ///     listed attempts in the order of the heartbeat, then those of the attempts that it omits
  ApplyResult apply(const Heartbeat& heartbeat, TimePoint now, double cache_gb,
                    std::vector<TaskEvent>& events, Source source = Source::Heartbeat);
  /// Removes all attempts: the machine's lease has expired, its worker has begun a new epoch, or
  /// the cloud has confirmed that the machine is terminated.
  static void clear(Machine& machine, std::vector<TaskEvent>& events);

 private:
  std::map<std::string, Machine> machines_;
};

}  // namespace asterstair::cluster
