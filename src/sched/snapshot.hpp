#pragma once
/// @file
/// What a plan is made from, and the plan itself: plain data. The leader's term fills a Snapshot
/// for each round of planning, calls plan() and preempt(), and applies the Plan.
///
/// A `ref` is an index of the caller's own, which the planner hands back unchanged. An index is a
/// position in the snapshot's vectors.

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
  Resources free;                     ///< Resources that no task uses. Placing reduces them.
  Resources freeing;                  ///< Resources of tasks that have been told to stop.
  double loss_rate = 0;               ///< Losses per second, see LossRates.
  const std::set<std::string>* images = nullptr;  ///< Cached images; null if none is known.
  std::optional<std::size_t> reserved_for;  ///< Index of the job it is reserved for, see plan().

  /// Returns whether no task uses its processors or accelerators.
  bool empty() const { return free.cpus >= type->cpus && free.gpus >= type->gpus; }

  /// Returns the price that is paid for it, in the unit of the catalog.
  double price() const { return spot ? type->spot_price : type->price; }

  /// Returns whether the image is cached.
  bool has_image(const std::string& image) const {
    return images != nullptr && images->count(image) != 0;
  }
};

/// A task that could be preempted.
struct PreemptionCandidate {
  std::size_t machine = 0;       ///< Index of its machine.
  std::size_t ref = 0;           ///< The caller's index of the task.
  const JobSpec* job = nullptr;  ///< Its job; never null.
  double lost_work = 0;          ///< Seconds of its work that a stop would lose.
};

/// Number of a job's tasks by zone.
using TasksByZone = std::map<std::string, std::uint32_t>;

/// A job with waiting tasks.
struct PlanJob {
  std::size_t ref = 0;           ///< The caller's index of the job.
  const JobSpec* job = nullptr;  ///< Its description; never null.
  std::uint32_t waiting = 0;     ///< Tasks that may be placed now. Placing reduces it.
  TasksByZone in_zone;           ///< Its tasks that are, or may be, in each zone.
  std::string last_zone;         ///< Zone of a gang that ran before; empty otherwise.
  Seconds remaining{0};          ///< Estimated remaining time of one task.
  Seconds work{0};               ///< Estimated remaining time of all unfinished tasks together.
  Seconds waited{0};             ///< Time since its submission.
  bool guaranteed = false;       ///< Whether its team's guarantee covers it, see GuaranteedQuota.
  bool starving = false;         ///< Whether no task has started for kStarvingAfter.
  bool overdue = false;          ///< Whether no task has been anywhere for kOverdueAfter.
  double slack = 0;  ///< Seconds until it must start to meet its objective; negative if late.
  const std::set<std::size_t>* avoid = nullptr;  ///< Refs of machines it failed on; may be null.
};

/// A team's quota and its use.
struct TeamState {
  Resources used;              ///< Resources of tasks that may be present anywhere.
  double guaranteed_cpus = 0;  ///< Guaranteed processors; 0 for no guarantee.
  double guaranteed_gpus = 0;  ///< Guaranteed accelerators; 0 for no guarantee.
  double max_cpus = 0;         ///< Most processors; 0 for no limit.
  double max_gpus = 0;         ///< Most accelerators; 0 for no limit.
};

/// The state of the cluster that a plan is made from.
struct Snapshot {
  std::vector<PlanMachine> machines;       ///< Machines that tasks may be placed on.
  std::vector<PlanJob> jobs;               ///< Jobs with waiting tasks.
  std::map<std::string, TeamState> teams;  ///< Quotas by name of team.
  /// Accelerators to keep usable for the jobs that need them and are expected soon. Job arrays that
  /// need none may use the processors beside the other accelerators.
  double keep_gpus = 0;
  /// Processors that jobs with accelerators take for each accelerator.
  double cpus_per_gpu = 0;
};

/// Tasks of one job that are placed on one machine.
struct Placement {
  std::size_t job = 0;      ///< Ref of the job.
  std::size_t machine = 0;  ///< Ref of the machine.
  std::uint32_t tasks = 0;  ///< Number of tasks; at least one.
};

/// The outcome of plan().
struct Plan {
  /// What to place, in the order in which it was decided.
  std::vector<Placement> placements;
  /// Indexes of the jobs that found no room for all their tasks, with the number of tasks left, in
  /// the order of precedes().
  std::vector<std::pair<std::size_t, std::uint32_t>> unplaced;
  /// Number of machines examined. The leader spaces its rounds of planning by this cost. It is a
  /// count and not a time, so that a run can be repeated from its seed.
  std::size_t steps = 0;
};

}  // namespace asterstair::sched
