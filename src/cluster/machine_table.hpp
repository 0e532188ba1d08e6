#pragma once
// What is known of the machines: epochs, reports and the tasks that are, or may be, on them.
// Pure state; unknown counts as present.

#include <list>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "base/model.hpp"
#include "base/time.hpp"
#include "sched/snapshot.hpp"

namespace asterstair::cluster {

// A task that is, or may be, on a machine.
struct TaskAttempt {
  enum class Phase {
    Pending,     // assigned; its start command has not been sent
    Dispatched,  // sent in the response to heartbeat `dispatched_sequence`; the next one settles it
    Observed,    // reported by its worker
    Terminated   // reported as exited; holds no resources
  };
  TaskId task;
  std::uint64_t attempt = 0;
  JobSpecPtr job;  // none: of a job this node knows nothing of
  Phase phase = Phase::Pending;
  TaskState state = TaskState::Fetching;
  ExitCause cause = ExitCause::None;
  bool saved = false;
  std::uint64_t dispatched_sequence = 0, observed_sequence = 0;
  TimePoint assigned_at{}, running_since{};
  bool stop = false;
  Seconds grace{0};
  bool acknowledge = false;  // may be cleared from the worker's reports

  bool holds_resources() const { return phase != Phase::Terminated; }
};

// Attempts come first: they differ almost always, and comparing them costs least.
struct AttemptId {
  std::uint64_t attempt = 0;
  TaskId task;
  auto operator<=>(const AttemptId&) const = default;
};

// What a machine's attempts hold, by team, and where it matters by job.
struct ResourceUsage {
  sched::Resources used, freeing;  // freeing: the part held by tasks that have been told to stop
  bool unknown = false;            // a task of a job this node knows nothing of
  std::vector<std::pair<std::string, sched::Resources>> teams;
  std::vector<std::pair<JobSpecPtr, std::uint32_t>> zoned;  // jobs with rules on zones
};

struct Machine {
  std::string id, address, type, zone;
  bool spot = false;
  std::uint64_t epoch = 0, sequence = 0;
  bool reconciled = false;  // under this leader's token
  std::pair<std::uint64_t, std::uint64_t>
      latest_heartbeat{};  // newest report arrived, of any token
  // When this leader first answered it in its present epoch, as far as is known here.
  std::optional<TimePoint> first_answered;
  // Sessions before this one are surely over: what they still say comes late.
  std::uint64_t first_valid_epoch = 0;
  bool lease_expired = false;  // its lease has surely run out: nothing runs there
  TimePoint first_heartbeat{}, last_heartbeat{}, last_answered{};
  std::optional<TimePoint> reclaim_at;  // preemption notices
  // What it is there for. There is no way back.
  enum class Service {
    InUse,
    Draining,  // no new work; what is on it ends or is stopped
    Returning  // the same, and its return is, or may be, durable: the cloud may take it any moment
  } service = Service::InUse;
  bool faulty = false;
  bool registered = false;  // durable: a later leader will wait for it
  TimePoint no_room_until{}, paused_until{};
  // Heartbeats arrive, but answers seem not to: start orders in a row that never showed, epochs
  // lost in a row, since when it has seemed so, and until when it must show that it hears us by
  // keeping its epoch.
  std::uint32_t starts_unseen = 0, epochs_lost = 0;
  std::optional<TimePoint> unresponsive_since;
  TimePoint unresponsive_until{}, epoch_lost_at{};
  std::set<std::string> failed_jobs;  // since its last success
  std::uint32_t failures = 0;
  TimePoint idle_since{};
  std::map<AttemptId, TaskAttempt> attempts;
  ResourceUsage usage;  // as of the last look at the attempts
  // What they hold may have changed since then.
  bool changed = false;
  // Images seen here, the latest used last.
  std::list<std::pair<std::string, double>> image_use;
  std::set<std::string> images;

  bool has_active_attempts() const;
  TaskAttempt* find_attempt(const TaskId& task, std::uint64_t attempt);
  ResourceUsage compute_usage() const;
  void use_image(const JobSpec& job, double cache_gb);
};

// What a heartbeat, or the end of a lease, says about a task.
struct TaskEvent {
  enum class Kind { Adopted, Started, Running, Exited, NotStarted, Vanished } kind;
  TaskAttempt task_attempt;  // as it was, or is, at that moment
};

class MachineTable {
 public:
  Machine& at(const std::string& id) { return all_[id]; }
  Machine* find(const std::string& id);
  const Machine* find(const std::string& id) const;
  std::map<std::string, Machine>& all() { return all_; }
  const std::map<std::string, Machine>& all() const { return all_; }

  enum class Order { New, Late };
  // A heartbeat, or the same as the answer to a direct command.
  enum class Source { Heartbeat, DirectAnswer };
  // Applies what was made under this leader's token. Late ones change nothing.
  Order apply(const Heartbeat& heartbeat, TimePoint now, double cache_gb,
              std::vector<TaskEvent>& events, Source source = Source::Heartbeat);
  // Its lease has surely run out, or the cloud has confirmed that it is gone.
  void clear(Machine& machine, std::vector<TaskEvent>& events);
  void erase(const std::string& id) { all_.erase(id); }

 private:
  std::map<std::string, Machine> all_;
};

}  // namespace asterstair::cluster
