#pragma once
/// @file
/// One machine, as the leader knows it from its worker's heartbeats. Pure state: no I/O, no clock.

#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "base/model.hpp"
#include "base/time.hpp"
#include "cluster/image_cache.hpp"
#include "cluster/task_attempt.hpp"
#include "sched/resources.hpp"

namespace asterstair::cluster {

/// The resources that a machine's attempts hold, in total, by team, and by job where zones matter.
struct ResourceUsage {
  sched::Resources used;     ///< held by attempts of known jobs
  sched::Resources freeing;  ///< the part of `used` whose attempts are stopping
  bool unknown = false;      ///< an attempt belongs to a job that this leader does not know
  std::vector<std::pair<std::string, sched::Resources>> teams;  ///< `used` by team
  /// Attempts of jobs whose placement depends on zones.
  std::vector<std::pair<JobSpecPtr, std::uint32_t>> zoned;
};

/// The order of a worker's messages: the greater is the newer (PROTOCOL, tenure and tick).
struct HeartbeatPosition {
  std::uint64_t epoch = 0;     ///< rises with each lease that the worker loses
  std::uint64_t sequence = 0;  ///< rises with each message of the worker
  /// Orders positions by epoch, then sequence.
  auto operator<=>(const HeartbeatPosition&) const = default;
};

/// What leader::WorkerHealth has learnt of a machine's ability to do work.
struct WorkerHealthRecord {
  // Tasks that fail.
  bool faulty = false;                  ///< quarantined: its tasks fail; there is no way back
  std::set<std::string> failed_jobs;    ///< jobs whose tasks failed here since the last success
  std::uint32_t failures = 0;           ///< since the last success; those of one pause count once
  TimePoint paused_until{};             ///< no new work before, after a failure
  TimePoint insufficient_room_until{};  ///< no new work before, after a start was refused
  // Responses that do not arrive, while heartbeats do.
  std::uint32_t starts_unobserved = 0;  ///< responses in a row whose start commands had no effect
  std::uint32_t epochs_lost = 0;        ///< leases in a row that ran out at the worker
  TimePoint epoch_lost_at{};            ///< the last of these
  std::optional<TimePoint> unresponsive_since;  ///< set while responses seem not to arrive
  TimePoint unresponsive_until{};  ///< responsive again if it keeps its epoch until then
};

/// A machine and the attempts on it. Unknown counts as present: an attempt stays until it is known
/// to be gone.
struct Machine {
  /// What the machine is there for. States are passed in this order.
  enum class Service {
    InUse,     ///< may be given work
    Draining,  ///< gets no new work; its attempts end or are stopped
    Returning  ///< as Draining; its return is, or may be, durable: the cloud may take it any time
  };

  // Identity.
  /// Name of the machine.
  std::string id;
  std::string address;  ///< of its worker, host:port; empty: not known yet
  std::string type;     ///< name of its MachineType
  /// Name of its zone.
  std::string zone;
  bool spot = false;  ///< a preemptible instance

  // Heartbeats.
  std::uint64_t epoch = 0;              ///< of the newest heartbeat that was applied
  std::uint64_t sequence = 0;           ///< of the newest heartbeat that was applied
  bool reconciled = false;              ///< a heartbeat under this leader's token has been applied
  HeartbeatPosition latest_heartbeat;   ///< the newest that arrived, under whichever token
  std::uint64_t first_valid_epoch = 0;  ///< the leases of earlier epochs have surely expired
  TimePoint last_heartbeat{};           ///< when the newest one was applied

  // The worker's lease, as far as this leader can know it.
  bool lease_expired = false;  ///< has surely expired: nothing runs there
  /// When this leader first answered it in its present epoch.
  std::optional<TimePoint> first_answered;
  TimePoint last_answered{};  ///< an upper bound of the last renewal of its lease

  std::optional<TimePoint> reclaim_at;  ///< when the cloud takes it, by its preemption notice
  /// What the machine is there for.
  Service service = Service::InUse;
  bool registered = false;  ///< in the durable registry: a later leader will wait for it
  /// Written by leader::WorkerHealth only.
  WorkerHealthRecord health;

  /// All attempts that run, or may run, on the machine.
  std::map<AttemptId, TaskAttempt> attempts;
  ResourceUsage usage;       ///< as of the last call of compute_usage()
  bool usage_stale = false;  ///< attempts have changed since `usage` was computed
  /// The images that it is believed to have.
  ImageCache image_cache;

  /// Whether any attempt holds resources.
  bool has_active_attempts() const;
  /// The attempt, or null.
  TaskAttempt* find_attempt(const TaskId& task, std::uint64_t attempt);
  /// Marks the attempt as stopping. A shorter grace replaces a longer one, never the reverse.
  /// \param attempt one of this machine's
  /// \param grace the time the task is given to save a checkpoint
  void request_stop(TaskAttempt& attempt, Seconds grace);
  /// Sums up what the attempts hold.
  ResourceUsage compute_usage() const;
};

}  // namespace asterstair::cluster
