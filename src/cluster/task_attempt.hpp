#pragma once
/// @file
/// The leader's state of one attempt to run a task on a machine.

#include <cstdint>
#include <optional>

#include "base/model.hpp"
#include "base/time.hpp"

namespace asterstair::cluster {

/// Identifies an attempt on a machine. The attempt number comes first because it nearly always
/// differs, so that most comparisons end there.
struct AttemptId {
  std::uint64_t attempt = 0;  ///< unique to a task of an array, shared by the tasks of a gang
  TaskId task;                ///< the task to run
  /// Orders ids by attempt number, then task.
  auto operator<=>(const AttemptId&) const = default;
};

/// An attempt that runs, or may run, on a machine, or has exited there. Owned by cluster::Machine.
struct TaskAttempt {
  /// Phase of the attempt, as the leader knows it. Phases follow in this order. Only an attempt
  /// that begin_rejoin() returns to Pending goes through them again.
  enum class Phase {
    Pending,     ///< assigned; no start command has been sent
    Dispatched,  ///< the start command is in the response to the last heartbeat; the next heartbeat
                 ///< shows whether it has taken effect
    Observed,    ///< listed in the worker's last heartbeat, and not exited
    Terminated   ///< reported as exited; holds no resources
  };

  TaskId task;                ///< the task to run
  std::uint64_t attempt = 0;  ///< see AttemptId
  JobSpecPtr job;             ///< null: the task's job is not known to this leader
  /// Phase of the attempt.
  Phase phase = Phase::Pending;
  TaskState state = TaskState::Fetching;   ///< as last reported; valid once Observed
  ExitCause cause = ExitCause::None;       ///< valid once Terminated
  bool saved = false;                      ///< Terminated: it saved a checkpoint when it exited
  std::uint64_t observed_sequence = 0;     ///< the last heartbeat that listed it
  std::optional<TimePoint> running_since;  ///< when it was first reported as running
  /// Set once the task is to be stopped: the time that it has to save a checkpoint.
  std::optional<Seconds> stop_grace;
  /// Terminated: the worker may drop it from its heartbeats.
  bool acknowledge = false;
  /// Pending or Dispatched: the worker has listed an exit of the same attempt, so the start must
  /// follow an acknowledgement. See begin_rejoin().
  bool rejoins = false;

  /// Whether it holds resources of its machine.
  bool holds_resources() const { return phase != Phase::Terminated; }
  /// Whether a stop command has been sent or is due.
  bool stopping() const { return stop_grace.has_value(); }
  /// Returns an attempt that waited in vain for the other tasks of its gang to Pending. It is to be
  /// started again on the same machine under the same number, so that it completes the gang.
  void begin_rejoin() {
    phase = Phase::Pending;
    state = TaskState::Fetching;
    cause = ExitCause::None;
    rejoins = true;
  }
};

}  // namespace asterstair::cluster
