#pragma once
/// @file
/// The leader's state of one live job. Pure state: no I/O, no clock.

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "base/model.hpp"
#include "base/time.hpp"
#include "cluster/task_set.hpp"

namespace asterstair::cluster {

/// The attempt of a task that is running, or may be running, on a machine.
struct Assignment {
  /// Name of the machine.
  std::string machine;
  std::uint64_t attempt = 0;  ///< see AttemptId
  bool running = false;       ///< the worker has reported it as running
};

/// A job that is neither done nor cancelled. Tasks are identified by their index.
struct Job {
  /// Whether the job's first progress record is durable. It is written before the first start
  /// command is sent, so that the next leader knows that tasks may be running.
  enum class StartRecord {
    Absent,   ///< not written
    Writing,  ///< its write is in flight
    Durable   ///< stored
  };

  /// The job as its user submitted it.
  JobSpecPtr spec;
  std::uint64_t version = 0;  ///< revision of the live record
  WallTime accepted{};        ///< when its acceptance was confirmed to its user

  // Progress.
  std::vector<bool> done;     ///< by task
  std::vector<bool> durable;  ///< the part of `done` that is durable in the store
  /// The number of tasks that are done.
  std::uint32_t done_count = 0;
  std::set<std::size_t> dirty_chunks;  ///< chunks of the progress record that differ from the store
  /// Whether the first progress record is durable.
  StartRecord start_record = StartRecord::Absent;
  bool started_by_previous_leader = false;  ///< unreported tasks may run on any machine
  /// A write of the progress record is in flight.
  bool progress_write_in_flight = false;
  /// The write of the final record is in flight.
  bool completion_write_in_flight = false;
  TimePoint last_flush{};  ///< when the progress record was last written

  // Placement.
  TaskSet waiting;                                            ///< neither done nor assigned
  std::unordered_map<std::uint32_t, Assignment> assignments;  ///< by task
  std::uint32_t running = 0;  ///< assignments that have been reported as running
  std::string last_zone;      ///< where a task last ran
  /// Progress that is known to be saved in checkpoints, in seconds of run time, by task.
  std::unordered_map<std::uint32_t, double> saved_seconds;

  // Waiting times.
  bool first_task_started = false;      ///< a worker has reported a task
  bool ran = false;                     ///< a task, or the whole gang, has been reported as running
  std::optional<TimePoint> idle_since;  ///< set while no task is assigned
  Seconds age_when_assigned{0};         ///< age of the job at its first assignment; 0: none yet

  // Failures.
  std::set<std::string> failed_on;   ///< machines on which its tasks failed
  std::uint32_t backoff_rounds = 0;  ///< number of backoffs after failures
  TimePoint not_before{};            ///< no task is placed before this time

  /// The number of tasks that are not done.
  std::uint32_t unfinished() const { return spec->tasks - done_count; }
  /// Whether all tasks are done.
  bool all_done() const { return done_count == spec->tasks; }
};

}  // namespace asterstair::cluster
