#pragma once
/// @file
/// Types that all packages share: jobs, tasks, machines, heartbeats and commands. Package wire maps
/// them to their names on the wire.

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "base/time.hpp"

namespace asterstair {

/// Kind of a job.
enum class JobKind {
  /// Independent tasks.
  Array,
  /// Tasks that run all at the same time or not at all.
  Gang,
  /// Tasks that run until the user cancels the job. They are placed like the tasks of an array.
  Service
};

/// Priority of a job, lowest first.
enum class Priority { Low, Normal, High, Production };

/// Immutable description of a job, as submitted by its user.
struct JobSpec {
  /// Unique id, such as req-000412.
  std::string id;
  /// Class of the job, by which objectives select jobs.
  std::string job_class;
  /// Team that owns the job.
  std::string team;
  JobKind kind = JobKind::Array;
  Priority priority = Priority::Normal;
  /// Number of tasks.
  std::uint32_t tasks = 0;
  /// Resources that one task requests: cores, accelerators and GB of memory. 0 requests none.
  double cpus = 0, gpus = 0, memory_gb = 0;
  /// Image that each task needs on its machine, and its size in GB.
  std::string image;
  double image_gb = 0;
  /// Machine types on which its tasks may run; if absent, all types.
  std::optional<std::vector<std::string>> types;
  /// Zone in which its tasks must run; if absent, any zone.
  std::optional<std::string> zone;
  /// Whether all its tasks must run in one zone.
  bool one_zone = false;
  /// Whether at most half of its tasks, rounded up, may run in one zone.
  bool spread = false;
  /// Whether its tasks may run on spot machines.
  bool spot = false;
  /// Estimated run time of a task.
  Seconds estimate{0};
  /// Run time between two checkpoints of a task; 0 if it saves no checkpoints.
  Seconds checkpoint_interval{0};
  /// Time that a task needs to save a checkpoint.
  Seconds checkpoint_time{0};
  /// Deadline, relative to the job's acceptance; absent if the job has none.
  std::optional<Seconds> deadline;

  /// Whether the job is a gang.
  bool gang() const { return kind == JobKind::Gang; }

  /// Whether its tasks may run on machines of a type.
  bool allows_type(const std::string& type) const;
};

/// Shared pointer to a job's description. All parts that refer to the job share one description.
using JobSpecPtr = std::shared_ptr<const JobSpec>;

/// A type of machine that the cloud offers.
struct MachineType {
  std::string name;
  /// Cores, accelerators and GB of memory.
  double cpus = 0, gpus = 0, memory_gb = 0;
  /// Size of the image cache, in GB.
  double cache_gb = 0;
  /// Rate at which images are fetched, in GB/s; 0 if unknown.
  double fetch_gb_per_s = 0;
  /// Prices of an on-demand machine and of a spot machine, in the cloud's unit.
  double price = 0, spot_price = 0;
  /// Time from the rental to the first heartbeat.
  Seconds boot{0};
  /// Zones in which it is offered.
  std::vector<std::string> zones;

  /// Whether it is offered in a zone.
  bool in_zone(const std::string& zone) const;

  /// Returns the maximum number of the job's tasks that fit on one empty machine.
  std::uint32_t max_tasks(const JobSpec& job) const;

  /// Whether the job may use machines of the type, and one of its tasks fits on an empty one.
  bool can_hold_task(const JobSpec& job) const;
};

/// Identifies a task.
struct TaskId {
  std::string job;
  /// Index in the job, from 0.
  std::uint32_t index = 0;
  auto operator<=>(const TaskId&) const = default;
};

/// State of a task attempt on its worker.
enum class TaskState {
  /// The worker fetches the image.
  Fetching,
  /// The attempt waits for the other tasks of its gang.
  Waiting,
  Running,
  /// The attempt saves a checkpoint.
  Saving,
  /// The attempt has exited. The worker reports it until the leader acknowledges the exit.
  Exited
};

/// Reason why an attempt has exited.
enum class ExitCause {
  /// The attempt has not exited, or the worker gave no cause.
  None,
  /// The task is complete.
  Done,
  /// The leader stopped it.
  Stopped,
  /// Another task of its gang was lost. The worker detects this itself.
  PeerLost,
  /// The other tasks of its gang did not start in time.
  PeersMissing,
  /// The task failed.
  Error,
  /// The machine has too few free resources.
  NoRoom,
  /// A resource that the task needs is in use; the start is retried later.
  Busy,
  /// The worker does not know the task to start; the start is retried later.
  Unknown
};

/// Status of a task attempt, as its worker reports it.
struct TaskStatus {
  TaskId task;
  /// Number of the attempt. It identifies late messages of earlier attempts.
  std::uint64_t attempt = 0;
  TaskState state = TaskState::Exited;
  /// Cause of the exit; ExitCause::None unless Exited.
  ExitCause cause = ExitCause::None;
  /// Whether the attempt saved a checkpoint when it exited; false unless Exited.
  bool saved = false;
};

/// Heartbeat with the status of a machine and all its tasks.
struct Heartbeat {
  /// Name of the machine.
  std::string machine;
  /// Address of its worker, for direct commands.
  std::string address;
  /// Machine type.
  std::string type;
  std::string zone;
  /// Whether it is a spot machine.
  bool spot = false;
  /// Epoch of the worker's agent. An agent with a new epoch holds no tasks of earlier epochs.
  std::uint64_t epoch = 0;
  /// Sequence number in the epoch. It identifies late heartbeats.
  std::uint64_t sequence = 0;
  /// Highest fencing token that the worker has seen.
  std::uint64_t token = 0;
  /// Time until the cloud reclaims the machine; absent if it has given no notice.
  std::optional<Seconds> preemption_notice;
  /// All task attempts on the machine.
  std::vector<TaskStatus> tasks;
};

/// Command from the leader to a worker.
struct Command {
  /// Operation of a command.
  enum class Op {
    /// Starts an attempt.
    Start,
    /// Stops an attempt.
    Stop,
    /// Acknowledges the exit of an attempt; the worker then forgets it.
    Acknowledge
  } op = Op::Start;
  TaskId task;
  std::uint64_t attempt = 0;
  /// Time that the attempt has to save a checkpoint and exit; only for Stop.
  Seconds grace{0};
  /// Checkpoint interval chosen by the leader; only for Start. If absent, the job's own interval
  /// applies.
  std::optional<Seconds> checkpoint_interval{};
};

/// A machine in the cloud's list.
struct ListedMachine {
  std::string id;
  /// Address of its worker; empty if not known yet.
  std::string address;
  /// Machine type.
  std::string type;
  std::string zone;
  bool spot = false;
  /// State of the machine as the cloud reports it.
  enum class State { Booting, Running, Failed } state = State::Booting;
  /// Time since the rental.
  Seconds age{0};
};

/// Stage of a job, as shown to users.
enum class JobStage { Queued, Running, Done, Cancelled };

}  // namespace asterstair
