#pragma once
/// @file
/// Input and output of the planner, as plain data. The leader's term fills a Snapshot for each
/// planning round, calls plan() and preempt(), and applies the Plan.
///
/// A `ref` is an index into the caller's own data, which the planner returns unchanged. An index is
/// a position in one of the snapshot's vectors.

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "base/model.hpp"
#include "sched/resources.hpp"

namespace asterstair::sched {

/// A machine that tasks may be placed on.
struct PlanMachine {
  std::size_t ref = 0;                ///< The caller's index of the machine.
  const MachineType* type = nullptr;  ///< Its type; never null, and owned by the catalog.
  std::string zone;                   ///< Its zone.
  bool spot = false;                  ///< Whether it is a spot machine.
  Resources free;                     ///< Resources that no task uses. Placing tasks reduces them.
  Resources freeing;                  ///< Resources of tasks that are being stopped.
  double loss_rate = 0;               ///< Losses per second, see LossRates::rate().
  const std::set<std::string>* images = nullptr;  ///< Cached images; null if none is known.
  std::optional<std::size_t> reserved_for;        ///< Index of the job that it is reserved for.

  /// Returns whether all its processors and accelerators are free.
  bool empty() const { return free.cpus >= type->cpus && free.gpus >= type->gpus; }

  /// Returns its spot or on-demand price, in the catalog's unit.
  double price() const { return spot ? type->spot_price : type->price; }

  /// Returns whether the image is cached.
  bool has_image(const std::string& image) const {
    return images != nullptr && images->count(image) != 0;
  }
};

/// A task that may be preempted.
struct PreemptionCandidate {
  std::size_t machine = 0;       ///< Index of its machine.
  std::size_t ref = 0;           ///< The caller's index of the task.
  const JobSpec* job = nullptr;  ///< Its job; never null.
  double lost_work = 0;          ///< Seconds of work that stopping it would lose.
};

/// Number of a job's tasks by zone.
using TasksByZone = std::map<std::string, std::uint32_t>;

/// A job with waiting tasks.
struct PlanJob {
  std::size_t ref = 0;           ///< The caller's index of the job.
  const JobSpec* job = nullptr;  ///< Its description; never null.
  std::uint32_t waiting = 0;     ///< Tasks that may be placed now. Placing tasks reduces it.
  TasksByZone in_zone;           ///< Its tasks that are or may be on machines, by zone.
  std::string last_zone;         ///< Zone in which a task last ran; empty if none ran.
  Seconds remaining{0};          ///< Estimated remaining time of one task.
  Seconds work{0};               ///< Sum of the estimates for all unfinished tasks.
  Seconds waited{0};             ///< Time since its submission.
  bool guaranteed = false;       ///< Whether its team's guarantee covers it.
  bool starving = false;         ///< Whether no task has started yet, for kStarvingAfter.
  bool overdue = false;          ///< Whether no task was on a machine for kOverdueAfter.
  double slack = 0;  ///< Seconds until it must start to meet its objective; negative if too late.
  /// Refs of the machines on which it failed; null if there are none to avoid.
  const std::set<std::size_t>* avoided_machines = nullptr;
};

/// A team's quota and its use.
struct TeamState {
  Resources used;              ///< Resources of all tasks that are or may be on machines.
  double guaranteed_cpus = 0;  ///< Guaranteed processors; 0 for no guarantee.
  double guaranteed_gpus = 0;  ///< Guaranteed accelerators; 0 for no guarantee.
  double max_cpus = 0;         ///< Maximum processors; 0 for no limit.
  double max_gpus = 0;         ///< Maximum accelerators; 0 for no limit.
};

/// The state of the cluster, as input of plan() and preempt().
struct Snapshot {
  std::vector<PlanMachine> machines;       ///< Machines that tasks may be placed on.
  std::vector<PlanJob> jobs;               ///< Jobs with waiting tasks.
  std::map<std::string, TeamState> teams;  ///< Quotas and their use by team name.
  /// Accelerators to keep usable for expected jobs: job arrays that need none must leave enough
  /// processors free on the same machines, see AcceleratorReserve.
  double reserved_gpus = 0;
  /// Processors that jobs with accelerators use per accelerator, on average.
  double cpus_per_gpu = 0;
};

/// A number of tasks of one job, placed on one machine.
struct Placement {
  std::size_t job = 0;      ///< Ref of the job.
  std::size_t machine = 0;  ///< Ref of the machine.
  std::uint32_t tasks = 0;  ///< Number of tasks; at least one.
};

/// The outcome of plan().
struct Plan {
  /// The placements, in the order in which they were decided.
  std::vector<Placement> placements;
  /// Indexes of the jobs with unplaced tasks, each with its number of unplaced tasks, in the order
  /// of precedes().
  std::vector<std::pair<std::size_t, std::uint32_t>> unplaced;
  /// Cost of the planning round, in steps that each cost about as much as examining one machine.
  /// The leader derives the pause until the next round from it. It is a count instead of a
  /// duration, so that a simulated run is reproducible from its seed.
  std::size_t steps = 0;
};

}  // namespace asterstair::sched
