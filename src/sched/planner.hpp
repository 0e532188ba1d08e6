#pragma once
// Places waiting tasks on machines: a pure function of a snapshot.

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "base/model.hpp"
#include "base/runtime.hpp"

namespace asterstair::sched {

struct Use {
  double cpus = 0, gpus = 0, memory_gb = 0;
  void add(const Use& other, double times = 1) {
    cpus += other.cpus * times;
    gpus += other.gpus * times;
    memory_gb += other.memory_gb * times;
  }
  void add(const JobSpec& job, double tasks = 1) {
    cpus += job.cpus * tasks;
    gpus += job.gpus * tasks;
    memory_gb += job.memory_gb * tasks;
  }
};

struct PlanMachine {
  std::size_t ref = 0;  // the caller's
  const MachineType* type = nullptr;
  std::string zone;
  bool spot = false;
  Use free;
  Use freeing;  // held by tasks that have been told to stop
  double loss_rate = 0;
  const std::set<std::string>* images = nullptr;  // cached
  std::size_t reserved_for = SIZE_MAX;            // job kept room for, see plan()

  bool empty() const { return free.cpus >= type->cpus && free.gpus >= type->gpus; }
  double price() const { return spot ? type->spot_price : type->price; }
};

// A task that could be stopped to make room.
struct PlanVictim {
  std::size_t machine = 0;  // index into machines
  std::size_t ref = 0;      // the caller's
  const JobSpec* job = nullptr;
  double lost_work = 0;  // seconds
};

struct PlanJob {
  std::size_t ref = 0;  // the caller's
  const JobSpec* job = nullptr;
  std::uint32_t waiting = 0;                     // tasks that may be placed now
  std::map<std::string, std::uint32_t> in_zone;  // its tasks that are, or may be, there
  std::string last_zone;                         // of a gang that ran before
  Seconds remaining{0};                          // of a task
  Seconds work{0};                               // of all its unfinished tasks
  Seconds waited{0};
  bool guaranteed = false;                       // see Guarantees
  bool starving = false;                         // nothing of it has begun for long
  bool overdue = false;                          // nothing of it is anywhere, for long
  double slack = 0;                              // seconds until it must start
  const std::set<std::size_t>* avoid = nullptr;  // machine refs it failed on
};

struct TeamState {
  Use used;  // may be present anywhere
  double guaranteed_cpus = 0, guaranteed_gpus = 0;
  double max_cpus = 0, max_gpus = 0;  // 0: none
};

// A job is within its team's guarantee if it fits there together with the team's earlier jobs that
// are not finished (PROTOCOL). Takes the unfinished jobs in the order of their arrival.
class Guarantees {
 public:
  explicit Guarantees(const std::map<std::string, TeamState>& teams) : teams_(teams) {}
  bool next(const JobSpec& job, std::uint32_t unfinished);

 private:
  const std::map<std::string, TeamState>& teams_;
  std::map<std::string, Use> earlier_;
};

struct Placement {
  std::size_t job = 0, machine = 0;  // refs
  std::uint32_t tasks = 0;
};

struct Snapshot {
  std::vector<PlanMachine> machines;
  std::vector<PlanJob> jobs;
  std::map<std::string, TeamState> teams;
  // Accelerators to keep usable for the work that needs them and will come soon, and how many
  // processors that work takes with each. Arrays that need none may use the rest.
  double keep_gpus = 0, cpus_per_gpu = 0;
};

struct Plan {
  std::vector<Placement> placements;
  // Jobs that found no room, in order, with the number of tasks left.
  std::vector<std::pair<std::size_t, std::uint32_t>> unplaced;  // index into jobs
  // Machines looked at, for spacing plans by what they cost: a count, so that runs repeat.
  std::size_t steps = 0;
};

// Every job, the largest too, is to begin within four minutes: three are left to the order by
// aims, which puts large and late ones last.
inline constexpr Seconds kStarvingAfter{180};

// No job is left waiting for 90 s while a machine that fits has room: a little earlier, one of
// which nothing is anywhere takes what is otherwise kept for others.
inline constexpr Seconds kOverdueAfter{70};

// Whether the job precedes the other: guarantees, priority, those about to miss their beginning
// (the longest waiting first), then those that can still be in time, then the one with less work
// left on its tasks' dominant resource: users count jobs, and small ones in front delay the large
// ones least.
bool precedes(const PlanJob& a, const PlanJob& b);

bool allowed_on(const JobSpec& job, const PlanMachine& machine);
bool fits(const JobSpec& job, const Use& free);

// Changes the snapshot's free room and use as it places.
Plan plan(Snapshot& snapshot, Rng& rng);

// What to stop for the waiting work that found no room, as PROTOCOL's "Preemption" allows. For a
// gang nothing is stopped unless all its tasks find room.
std::vector<std::size_t> preempt(Snapshot& snapshot, Plan& plan,
                                 const std::vector<PlanVictim>& victims, Rng& rng);

}  // namespace asterstair::sched
