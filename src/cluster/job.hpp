#pragma once
/// @file
/// One live job, as the leader knows it. Pure state: no I/O, no clock.

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

/// Where a task is, or may be, running.
struct Assignment {
  /// Name of the machine.
  std::string machine;
  std::uint64_t attempt = 0;  ///< see AttemptId
  bool running = false;       ///< has been reported as running
};

/// A job that is neither done nor cancelled. Tasks are named by their index.
struct Job {
  /// Whether the job's first progress record is durable. It precedes the first start, so that the
  /// next leader knows that tasks may be running.
  enum class StartRecord {
    Absent,   ///< not written
    Writing,  ///< its write has not been answered yet
    Durable   ///< in the store
  };

  /// What its user submitted.
  JobSpecPtr spec;
  std::uint64_t version = 0;  ///< revision of the live record
  WallTime accepted{};        ///< when a user was told that the job is accepted

  // Progress.
  std::vector<bool> done;     ///< by task
  std::vector<bool> durable;  ///< the part of `done` that the store has
  /// The number of tasks that are done.
  std::uint32_t done_count = 0;
  std::set<std::size_t> dirty_chunks;  ///< of the progress record; differ from the store's
  /// State of the first progress record.
  StartRecord start_record = StartRecord::Absent;
  bool started_by_previous_leader = false;  ///< unreported tasks may run anywhere
  /// A write of its progress has not been answered yet.
  bool progress_write_in_flight = false;
  /// The write of its final record has not been answered yet.
  bool completion_write_in_flight = false;
  TimePoint last_flush{};  ///< when progress was last written

  // Placement.
  TaskSet waiting;                                            ///< neither done nor assigned
  std::unordered_map<std::uint32_t, Assignment> assignments;  ///< by task
  std::uint32_t running = 0;  ///< assignments that have been reported as running
  std::string last_zone;      ///< where a task last ran
  /// Progress that checkpoints are known to have kept, in seconds of run time, by task.
  std::unordered_map<std::uint32_t, double> saved_seconds;

  // Waiting times.
  bool first_task_started = false;      ///< a task has been reported
  bool ran = false;                     ///< a task, or the whole gang, has been reported as running
  std::optional<TimePoint> idle_since;  ///< while no task is assigned
  Seconds age_when_assigned{0};         ///< age of the job when it first got room; 0: not yet

  // Failures.
  std::set<std::string> failed_on;   ///< machines on which its tasks failed
  std::uint32_t backoff_rounds = 0;  ///< how often it was delayed after failures
  TimePoint not_before{};            ///< no task is placed before

  /// The number of tasks that are not done.
  std::uint32_t unfinished() const { return spec->tasks - done_count; }
  /// Whether all tasks are done.
  bool all_done() const { return done_count == spec->tasks; }
};

}  // namespace asterstair::cluster
