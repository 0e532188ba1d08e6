#pragma once
// The terms the whole service shares: jobs, tasks, machine types.

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "base/time.hpp"

namespace asterstair {

// A service's tasks run until its user cancels it; otherwise it is placed like an array.
enum class JobKind { Array, Gang, Service };
enum class Priority { Low, Normal, High, Production };

struct JobSpec {
  std::string id, job_class, team;
  JobKind kind = JobKind::Array;
  Priority priority = Priority::Normal;
  std::uint32_t tasks = 0;
  double cpus = 0, gpus = 0, memory_gb = 0;
  std::string image;
  double image_gb = 0;
  std::optional<std::vector<std::string>> types;  // none: any
  std::optional<std::string> zone;
  bool one_zone = false, spread = false, spot = false;
  Seconds estimate{0}, checkpoint{0}, save{0};
  std::optional<Seconds> deadline;

  bool gang() const { return kind == JobKind::Gang; }
  bool allows_type(const std::string& type) const;
};
using JobSpecPtr = std::shared_ptr<const JobSpec>;

struct MachineType {
  std::string name;
  double cpus = 0, gpus = 0, memory_gb = 0, cache_gb = 0, fetch_gb_per_s = 0;
  double price = 0, spot_price = 0;
  Seconds boot{0};
  std::vector<std::string> zones;

  bool in_zone(const std::string& zone) const;
  // How many tasks of this shape an empty machine holds.
  std::uint32_t fits(const JobSpec& job) const;
};

struct TaskId {
  std::string job;
  std::uint32_t index = 0;
  auto operator<=>(const TaskId&) const = default;
};

enum class TaskState { Fetching, Waiting, Running, Saving, Exited };
enum class ExitCause { None, Done, Stopped, Peers, Alone, Error, NoRoom, Busy, Unknown };

// One task as its worker reports it.
struct TaskStatus {
  TaskId task;
  std::uint64_t attempt = 0;
  TaskState state = TaskState::Exited;
  ExitCause cause = ExitCause::None;
  bool saved = false;
};

struct Heartbeat {
  std::string machine, address, type, zone;
  bool spot = false;
  std::uint64_t epoch = 0, sequence = 0, token = 0;
  std::optional<Seconds> preemption_notice;
  std::vector<TaskStatus> tasks;
};

struct Command {
  enum class Op { Start, Stop, Acknowledge } op = Op::Start;
  TaskId task;
  std::uint64_t attempt = 0;
  Seconds grace{0};                   // Stop
  std::optional<Seconds> interval{};  // Start: the checkpoint interval the leader chose
};

struct ListedMachine {
  std::string id, address, type, zone;
  bool spot = false;
  enum class State { Booting, Running, Failed } state = State::Booting;
  Seconds age{0};
};

enum class JobStage { Queued, Running, Done, Cancelled };

}  // namespace asterstair
