#pragma once
/// @file
/// The terms that all packages share: jobs, tasks, machines, heartbeats and commands. Package wire
/// maps them to the names of the wire.

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
  /// Tasks that run together, or not at all.
  Gang,
  /// Tasks that run until the user cancels the job; otherwise placed like an array's.
  Service
};

/// Priority of a job, lowest first.
enum class Priority { Low, Normal, High, Production };

/// A job as its user describes it. It never changes.
struct JobSpec {
  /// Name, such as req-000412.
  std::string id;
  /// Class, by which objectives choose jobs.
  std::string job_class;
  /// Team that owns it.
  std::string team;
  JobKind kind = JobKind::Array;
  Priority priority = Priority::Normal;
  /// Number of tasks.
  std::uint32_t tasks = 0;
  /// Needs of one task: cores, accelerators and GB of memory. 0: none.
  double cpus = 0, gpus = 0, memory_gb = 0;
  /// Image that each task needs on its machine.
  std::string image;
  double image_gb = 0;
  /// Machine types that its tasks may use; none: all.
  std::optional<std::vector<std::string>> types;
  /// Zone in which its tasks must run; none: any.
  std::optional<std::string> zone;
  /// Whether all its tasks must run in one zone.
  bool one_zone = false;
  /// Whether at most half of its tasks, rounded up, may run in one zone.
  bool spread = false;
  /// Whether its tasks may run on spot machines.
  bool spot = false;
  /// Estimated running time of a task.
  Seconds estimate{0};
  /// Progress between two checkpoints of a task; 0: it saves none.
  Seconds checkpoint{0};
  /// Time that a checkpoint takes.
  Seconds save{0};
  /// Deadline, counted from the job's acceptance; none: none.
  std::optional<Seconds> deadline;

  /// Whether the job is a gang.
  bool gang() const { return kind == JobKind::Gang; }

  /// Whether its tasks may run on machines of a type.
  bool allows_type(const std::string& type) const;
};

/// Descriptions are shared by all that refer to the job.
using JobSpecPtr = std::shared_ptr<const JobSpec>;

/// A type of machine that the cloud offers.
struct MachineType {
  std::string name;
  /// Cores, accelerators and GB of memory.
  double cpus = 0, gpus = 0, memory_gb = 0;
  /// Room for images, in GB.
  double cache_gb = 0;
  /// Rate at which images are fetched, in GB/s; 0: not stated.
  double fetch_gb_per_s = 0;
  /// Price, and price of a spot machine, in the cloud's unit.
  double price = 0, spot_price = 0;
  /// Time from rental to the first heartbeat.
  Seconds boot{0};
  /// Zones in which it is offered.
  std::vector<std::string> zones;

  /// Whether it is offered in a zone.
  bool in_zone(const std::string& zone) const;

  /// Returns how many tasks of a job an empty machine holds; at most the job's number of tasks.
  std::uint32_t fits(const JobSpec& job) const;
};

/// Names a task.
struct TaskId {
  std::string job;
  /// Index in the job, from 0.
  std::uint32_t index = 0;
  auto operator<=>(const TaskId&) const = default;
};

/// State of a task's attempt at its worker.
enum class TaskState {
  /// The worker fetches its image.
  Fetching,
  /// It waits for the other tasks of its gang.
  Waiting,
  Running,
  /// It saves a checkpoint.
  Saving,
  /// It has exited; the worker reports it until the leader acknowledges that.
  Exited
};

/// Why an attempt has exited.
enum class ExitCause {
  /// Not stated, or not exited.
  None,
  /// The task is done.
  Done,
  /// The leader stopped it.
  Stopped,
  /// Another task of its gang was lost; the worker reports that itself.
  Peers,
  /// The other tasks of its gang did not come in time.
  Alone,
  /// It failed.
  Error,
  /// The machine has no room for it.
  NoRoom,
  /// Something that it needs is in use: the start is tried again later.
  Busy,
  /// The worker does not know what was to be started: the start is tried again later.
  Unknown
};

/// One task's attempt as its worker reports it.
struct TaskStatus {
  TaskId task;
  /// Number of the attempt, by which a late message of an earlier one is recognized.
  std::uint64_t attempt = 0;
  TaskState state = TaskState::Exited;
  /// Why it has exited; ExitCause::None unless Exited.
  ExitCause cause = ExitCause::None;
  /// Whether it saved a checkpoint when it exited; false unless Exited.
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
  /// Epoch of the worker's agent: a higher one holds no task of an earlier one.
  std::uint64_t epoch = 0;
  /// Sequence number in the epoch, by which a late heartbeat is recognized.
  std::uint64_t sequence = 0;
  /// Highest fencing token that the worker has seen.
  std::uint64_t token = 0;
  /// Time until the cloud reclaims the machine; none: no notice.
  std::optional<Seconds> preemption_notice;
  /// All attempts that the machine holds.
  std::vector<TaskStatus> tasks;
};

/// Command of the leader to a worker.
struct Command {
  /// What a command does.
  enum class Op {
    /// Starts an attempt.
    Start,
    /// Stops an attempt.
    Stop,
    /// Lets the worker drop an exited attempt.
    Acknowledge
  } op = Op::Start;
  TaskId task;
  std::uint64_t attempt = 0;
  /// Time that the attempt has to save a checkpoint and exit; only for Stop.
  Seconds grace{0};
  /// Checkpoint interval that the leader chose; only for Start. None: the job's own.
  std::optional<Seconds> interval{};
};

/// A machine in the cloud's list.
struct ListedMachine {
  std::string id;
  /// Address of its worker; empty: not known yet.
  std::string address;
  /// Machine type.
  std::string type;
  std::string zone;
  bool spot = false;
  /// State of a machine at the cloud.
  enum class State { Booting, Running, Failed } state = State::Booting;
  /// Time since it was rented.
  Seconds age{0};
};

/// Stage of a job, as users see it.
enum class JobStage { Queued, Running, Done, Cancelled };

}  // namespace asterstair
