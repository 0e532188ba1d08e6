#pragma once
/// @file
/// One attempt to run a task on one machine, as the leader knows it.

#include <cstdint>
#include <optional>

#include "base/model.hpp"
#include "base/time.hpp"

namespace asterstair::cluster {

/// Identifies an attempt on a machine. The attempt number comes first: it differs almost always, so
/// that most comparisons end there.
struct AttemptId {
  std::uint64_t attempt = 0;  ///< unique to an array's task, shared by the tasks of a gang
  TaskId task;                ///< the task that is attempted
  /// Orders ids by attempt number, then task.
  auto operator<=>(const AttemptId&) const = default;
};

/// A task that runs, or may run, on a machine. Owned by cluster::Machine.
struct TaskAttempt {
  /// How much is known of the attempt. Phases are passed in this order; none is entered again.
  enum class Phase {
    Pending,     ///< assigned; no start command has been sent
    Dispatched,  ///< the start command is in the response to the last heartbeat; the next settles
                 ///< it
    Observed,    ///< in the worker's last heartbeat, and not exited
    Terminated   ///< reported as exited; holds no resources
  };

  TaskId task;                ///< the task that is attempted
  std::uint64_t attempt = 0;  ///< see AttemptId
  JobSpecPtr job;             ///< null: the task's job is not known to this leader
  /// How much is known of the attempt.
  Phase phase = Phase::Pending;
  TaskState state = TaskState::Fetching;   ///< as last reported; valid once Observed
  ExitCause cause = ExitCause::None;       ///< valid once Terminated
  bool saved = false;                      ///< Terminated: its progress was checkpointed at the end
  std::uint64_t observed_sequence = 0;     ///< the last heartbeat that named it
  std::optional<TimePoint> running_since;  ///< when it was first reported as running
  /// Set once the task is to be stopped: the time it is given to save a checkpoint.
  std::optional<Seconds> stop_grace;
  /// Terminated: the worker may drop it from its heartbeats.
  bool acknowledge = false;

  /// Whether it takes up resources of its machine.
  bool holds_resources() const { return phase != Phase::Terminated; }
  /// Whether it has been, or is about to be, told to stop.
  bool stopping() const { return stop_grace.has_value(); }
};

}  // namespace asterstair::cluster
