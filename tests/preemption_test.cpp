// Preemption: which tasks are stopped to make room for other jobs.

#include "sched/preemption.hpp"

#include <gtest/gtest.h>

#include <algorithm>

#include "scheduler_fixture.hpp"

namespace {

using namespace asterstair;
using namespace asterstair::sched;

class Preemption : public test_support::SchedulerFixture {};

TEST_F(Preemption, StopsOnlyLowerPriorityTasksAndTasksAboveGuarantees) {
  machine(cpu, "a");
  snapshot.machines[0].free = {0, 0, 60};
  auto& preemptor = job(1, 8);
  JobSpec running = preemptor;
  running.id = "req-9";
  running.team = "u";
  running.cpus = 8;
  const std::vector<PreemptionCandidate> candidates{{0, 0, &running, 5}, {0, 1, &running, 50}};
  Plan nothing_placed{{}, {{0, 1}}};
  EXPECT_TRUE(
      preempt(snapshot, nothing_placed, candidates, rng).empty());  // same priority, no guarantee
  snapshot.teams["t"].guaranteed_cpus = 8;
  snapshot.jobs[0].guaranteed = true;
  snapshot.teams["u"].used.cpus = 16;
  EXPECT_EQ(preempt(snapshot, nothing_placed, candidates, rng),
            std::vector<std::size_t>{0});  // the candidate with the least lost work
  snapshot.teams["t"].guaranteed_cpus = 0;
  snapshot.teams["t"].used = {};
  snapshot.machines[0].free = {0, 0, 60};
  running.priority = Priority::Low;
  EXPECT_EQ(preempt(snapshot, nothing_placed, candidates, rng), std::vector<std::size_t>{0});
}

// Guards against stopping tasks repeatedly for the same waiting tasks. The next planning round
// begins before stopped tasks have exited. If it only sees a random sample of the machines, it
// misses some of the machines that are being freed and stops tasks on others.
// PreemptionRound::sample_machines() therefore always includes machines that are being freed.
TEST_F(Preemption, StopsNoFurtherTasksWhileResourcesAreBeingFreed) {
  constexpr std::size_t kMachines = 300, kTasksPerMachine = 16;
  for (std::size_t machine_index = 0; machine_index < kMachines; ++machine_index) machine(cpu, "a");
  JobSpec running = job(1, 1);
  snapshot.jobs.clear();
  running.priority = Priority::Low;
  job(40, 4);
  std::vector<PreemptionCandidate> candidates;
  for (std::size_t machine_index = 0; machine_index < kMachines; ++machine_index) {
    snapshot.machines[machine_index].free = {0, 0, 60};
    for (std::size_t task = 0; task < kTasksPerMachine; ++task) {
      candidates.push_back({machine_index, candidates.size(), &running, 5});
    }
  }
  const Snapshot before = snapshot;
  Plan nothing_placed{{}, {{0, 40}}};
  const auto stopped = preempt(snapshot, nothing_placed, candidates, rng);
  EXPECT_EQ(stopped.size(), 160U);

  // In the next round, the stopped tasks have not exited yet.
  snapshot = before;
  std::vector<PreemptionCandidate> not_stopped;
  for (const auto& candidate : candidates) {
    if (std::find(stopped.begin(), stopped.end(), candidate.ref) != stopped.end()) {
      snapshot.machines[candidate.machine].freeing.add(running);
    } else {
      not_stopped.push_back(candidate);
    }
  }
  Plan next_round{{}, {{0, 40}}};
  EXPECT_TRUE(preempt(snapshot, next_round, not_stopped, rng).empty());
}

}  // namespace
