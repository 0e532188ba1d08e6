#pragma once
/// @file
/// The leader's state of one machine, from its worker's heartbeats. Pure state: no I/O, no clock.

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

/// The resources that a machine's attempts hold: in total, by team, and by job for jobs whose
/// placement depends on zones.
struct ResourceUsage {
  sched::Resources used;          ///< held by the attempts of known jobs
  sched::Resources freeing;       ///< the part of `used` whose attempts are stopping
  bool has_unknown_jobs = false;  ///< an attempt belongs to a job that this leader does not know
  std::vector<std::pair<std::string, sched::Resources>> teams;  ///< `used` by team
  /// Number of attempts by job, for jobs whose placement depends on zones.
  std::vector<std::pair<JobSpecPtr, std::uint32_t>> zone_constrained;
};

/// Position of a message in the order in which its worker sent it; `tenure` and `tick` on the wire.
/// The greater position is the newer message.
struct HeartbeatPosition {
  std::uint64_t epoch = 0;     ///< increases with each lease that the worker loses
  std::uint64_t sequence = 0;  ///< increases with each message of the worker
  /// Orders positions by epoch, then sequence.
  auto operator<=>(const HeartbeatPosition&) const = default;
};

/// What leader::WorkerHealth has observed about a machine's ability to run tasks.
struct WorkerHealthRecord {
  // Failing tasks.
  bool faulty = false;                  ///< quarantined permanently, because its tasks fail
  std::set<std::string> failed_jobs;    ///< jobs that failed here since the last success
  std::uint32_t failures = 0;           ///< since the last success; one pause counts once
  TimePoint paused_until{};             ///< no new work until then, after a failed task
  TimePoint insufficient_room_until{};  ///< no new work until then, after a refused start
  // Responses that are lost while heartbeats arrive.
  std::uint32_t starts_unobserved = 0;  ///< consecutive responses whose starts had no effect
  std::uint32_t epochs_lost = 0;        ///< consecutive leases that expired at the worker
  TimePoint epoch_lost_at{};            ///< when the last of them was observed
  std::optional<TimePoint> unresponsive_since;  ///< set while responses seem to be lost
  TimePoint unresponsive_until{};               ///< responsive if it keeps its epoch until then
};

/// A machine and the attempts on it. An attempt whose state is uncertain counts as present: it
/// stays until it is known to have ended.
struct Machine {
  /// Whether the machine is in service. It goes through the states in this order only.
  enum class Service {
    InUse,     ///< may be given work
    Draining,  ///< gets no new work; its attempts end or are stopped
    Returning  ///< as Draining; its return may be durable, so the cloud may terminate it any time
  };

  // Identity.
  /// Name of the machine.
  std::string id;
  std::string address;  ///< of its worker, as host:port; empty: not known yet
  std::string type;     ///< name of its MachineType
  /// Name of its zone.
  std::string zone;
  bool spot = false;  ///< a preemptible instance

  // Heartbeats.
  std::uint64_t epoch = 0;              ///< of the newest applied heartbeat
  std::uint64_t sequence = 0;           ///< of the newest applied heartbeat
  bool reconciled = false;              ///< a heartbeat with this leader's token has been applied
  HeartbeatPosition latest_heartbeat;   ///< the newest that arrived, with any token
  std::uint64_t first_valid_epoch = 0;  ///< the leases of all earlier epochs have expired
  TimePoint last_heartbeat{};           ///< when the newest applied heartbeat arrived

  // The worker's lease. This leader knows only bounds of its renewals.
  bool lease_expired = false;  ///< even the latest possible renewal has expired: nothing runs there
  /// When this leader first answered a heartbeat; reset when the lease expires.
  std::optional<TimePoint> first_response_at;
  TimePoint latest_possible_renewal{};  ///< upper bound of the time of the last renewal

  std::optional<TimePoint> reclaim_at;  ///< when the cloud reclaims it, by its preemption notice
  /// Whether the machine is in service.
  Service service = Service::InUse;
  bool registered = false;  ///< in the durable registry: a later leader waits for it
  /// Written only by leader::WorkerHealth.
  WorkerHealthRecord health;

  /// The attempts that run, or may run, on the machine, and exited ones until the worker drops
  /// them.
  std::map<AttemptId, TaskAttempt> attempts;
  ResourceUsage usage;       ///< result of the last compute_usage()
  bool usage_stale = false;  ///< attempts have changed since `usage` was computed
  /// Estimate of the images on the machine.
  ImageCache image_cache;

  /// Whether any attempt holds resources.
  bool has_active_attempts() const;
  /// The attempt, or null.
  TaskAttempt* find_attempt(const TaskId& task, std::uint64_t attempt);
  /// Marks the attempt as stopping. A shorter grace period replaces a longer one, never the
  /// reverse.
  /// \param attempt an attempt on this machine
  /// \param grace the time the task is given to save a checkpoint
  void request_stop(TaskAttempt& attempt, Seconds grace);
  /// Computes the resources that the attempts hold.
  ResourceUsage compute_usage() const;
};

}  // namespace asterstair::cluster
