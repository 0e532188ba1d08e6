// Preemption: which tasks are stopped for others.

#include "sched/preemption.hpp"

#include <gtest/gtest.h>

#include <algorithm>

#include "scheduler_fixture.hpp"

namespace {

using namespace asterstair;
using namespace asterstair::sched;

class Preemption : public test_support::SchedulerFixture {};

TEST_F(Preemption, StopsOnlyLowerPriorityAndWorkAboveGuarantees) {
  machine(cpu, "a");
  s.machines[0].free = {0, 0, 60};
  auto& wants = job(1, 8);
  JobSpec running = wants;
  running.id = "req-9";
  running.team = "u";
  running.cpus = 8;
  const std::vector<PreemptionCandidate> candidates{{0, 0, &running, 5}, {0, 1, &running, 50}};
  Plan none{{}, {{0, 1}}};
  EXPECT_TRUE(preempt(s, none, candidates, rng).empty());  // equal priority, no guarantee
  s.teams["t"].guaranteed_cpus = 8;
  s.jobs[0].guaranteed = true;
  s.teams["u"].used.cpus = 16;
  EXPECT_EQ(preempt(s, none, candidates, rng),
            std::vector<std::size_t>{0});  // the one that loses least
  s.teams["t"].guaranteed_cpus = 0;
  s.teams["t"].used = {};
  s.machines[0].free = {0, 0, 60};
  running.priority = Priority::Low;
  EXPECT_EQ(preempt(s, none, candidates, rng), std::vector<std::size_t>{0});
}

// Stops take a moment, and rounds follow one another sooner. With a random sample of machines each
// round found room being freed on some of them only, and stopped others once more for the same
// tasks. Guard: Preemption::sample_of.
TEST_F(Preemption, StopsNothingMoreWhileRoomIsBeingFreed) {
  constexpr std::size_t kMachines = 300, kTasksOnEach = 16;
  for (std::size_t m = 0; m < kMachines; ++m) machine(cpu, "a");
  JobSpec running = job(1, 1);
  s.jobs.clear();
  running.priority = Priority::Low;
  job(40, 4);
  std::vector<PreemptionCandidate> candidates;
  for (std::size_t m = 0; m < kMachines; ++m) {
    s.machines[m].free = {0, 0, 60};
    for (std::size_t n = 0; n < kTasksOnEach; ++n) {
      candidates.push_back({m, candidates.size(), &running, 5});
    }
  }
  const Snapshot before = s;
  Plan none{{}, {{0, 40}}};
  const auto stopped = preempt(s, none, candidates, rng);
  EXPECT_EQ(stopped.size(), 160U);

  // The next round: their stops are sent, and they are not yet gone.
  s = before;
  std::vector<PreemptionCandidate> left;
  for (const auto& v : candidates) {
    if (std::find(stopped.begin(), stopped.end(), v.ref) != stopped.end()) {
      s.machines[v.machine].freeing.add(running);
    } else {
      left.push_back(v);
    }
  }
  Plan again{{}, {{0, 40}}};
  EXPECT_TRUE(preempt(s, again, left, rng).empty());
}

}  // namespace
