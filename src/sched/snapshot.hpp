#pragma once
// What a plan is made from, and the plan itself: plain data, taken from the fleet and given back.

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "base/model.hpp"
#include "sched/resources.hpp"

namespace asterstair::sched {

// A machine that may be given work.
struct PlanMachine {
  std::size_t ref = 0;  // the caller's
  const MachineType* type = nullptr;
  std::string zone;
  bool spot = false;
  Resources free;
  Resources freeing;  // held by tasks that have been told to stop
  double loss_rate = 0;
  const std::set<std::string>* images = nullptr;  // cached
  std::optional<std::size_t> reserved_for;        // index of the job it is kept for, see plan()

  bool empty() const { return free.cpus >= type->cpus && free.gpus >= type->gpus; }
  double price() const { return spot ? type->spot_price : type->price; }
  bool has_image(const std::string& image) const {
    return images != nullptr && images->count(image) != 0;
  }
};

// A task that could be stopped to make room.
struct PreemptionCandidate {
  std::size_t machine = 0;  // index into machines
  std::size_t ref = 0;      // the caller's
  const JobSpec* job = nullptr;
  double lost_work = 0;  // seconds
};

using TasksByZone = std::map<std::string, std::uint32_t>;

// A job with tasks that wait.
struct PlanJob {
  std::size_t ref = 0;  // the caller's
  const JobSpec* job = nullptr;
  std::uint32_t waiting = 0;  // tasks that may be placed now
  TasksByZone in_zone;        // its tasks that are, or may be, there
  std::string last_zone;      // of a gang that ran before
  Seconds remaining{0};       // of a task
  Seconds work{0};            // of all its unfinished tasks
  Seconds waited{0};
  bool guaranteed = false;                       // see Guarantees
  bool starving = false;                         // nothing of it has begun for long
  bool overdue = false;                          // nothing of it is anywhere, for long
  double slack = 0;                              // seconds until it must start
  const std::set<std::size_t>* avoid = nullptr;  // machine refs it failed on
};

struct TeamState {
  Resources used;  // may be present anywhere
  double guaranteed_cpus = 0, guaranteed_gpus = 0;
  double max_cpus = 0, max_gpus = 0;  // 0: none
};

struct Snapshot {
  std::vector<PlanMachine> machines;
  std::vector<PlanJob> jobs;
  std::map<std::string, TeamState> teams;
  // Accelerators to keep usable for the work that needs them and will come soon, and how many
  // processors that work takes with each. Arrays that need none may use the rest.
  double keep_gpus = 0, cpus_per_gpu = 0;
};

struct Placement {
  std::size_t job = 0, machine = 0;  // refs
  std::uint32_t tasks = 0;
};

struct Plan {
  std::vector<Placement> placements;
  // Jobs that found no room, in order, with the number of tasks left.
  std::vector<std::pair<std::size_t, std::uint32_t>> unplaced;  // index into jobs
  // Machines looked at, for spacing plans by what they cost: a count, so that runs repeat.
  std::size_t steps = 0;
};

}  // namespace asterstair::sched
