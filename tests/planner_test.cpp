// The planner: where tasks are placed, and in which order.

#include "sched/planner.hpp"

#include <gtest/gtest.h>

#include "sched/order.hpp"
#include "scheduler_fixture.hpp"

namespace {

using namespace asterstair;
using namespace asterstair::sched;

class Planner : public test_support::SchedulerFixture {};

TEST_F(Planner, PrefersMachinesWithTheCachedImage) {
  const std::set<std::string> cached{"i"};
  machine(cpu, "a");
  machine(cpu, "b", false, &cached);
  job(4, 2);
  const auto result = plan(snapshot, rng);
  ASSERT_EQ(result.placements.size(), 1U);
  EXPECT_EQ(result.placements[0].machine, 1U);
  EXPECT_EQ(result.placements[0].tasks, 4U);
}

TEST_F(Planner, PlacesAllTasksOfAGangOrNone) {
  machine(cpu, "a");
  machine(cpu, "b");
  job(5, 8, JobKind::Gang);
  EXPECT_TRUE(plan(snapshot, rng).placements.empty());
  snapshot.jobs[0].waiting = 4;
  EXPECT_EQ(placed(plan(snapshot, rng), 0), 4U);
}

TEST_F(Planner, RespectsZoneConstraints) {
  machine(cpu, "a");
  machine(cpu, "b");
  job(4, 8, JobKind::Gang).one_zone = true;
  EXPECT_TRUE(plan(snapshot, rng).placements.empty());
  specs[0]->one_zone = false;
  specs[0]->spread = true;
  const auto result = plan(snapshot, rng);
  ASSERT_EQ(result.placements.size(), 2U);
  EXPECT_EQ(result.placements[0].tasks, 2U);
}

TEST_F(Planner, RespectsTheTeamMaximum) {
  machine(cpu, "a");
  snapshot.teams["t"].max_cpus = 10;
  snapshot.teams["t"].used.cpus = 3;
  job(8, 2);
  EXPECT_EQ(placed(plan(snapshot, rng), 0), 3U);
}

// A machine is reserved for a waiting gang. An overdue job may use it nevertheless: no job may wait
// for 90 s while a suitable machine has room.
TEST_F(Planner, PlacesOverdueJobsOnReservedMachines) {
  machine(cpu, "a");
  snapshot.machines[0].free = {10, 0, 60};
  job(1, 16, JobKind::Gang);
  snapshot.jobs[0].waited = Seconds(60);
  snapshot.jobs[0].slack = 1;
  job(2, 2);
  EXPECT_EQ(placed(plan(snapshot, rng), 1), 0U);
  snapshot.machines[0].reserved_for.reset();
  snapshot.jobs[1].overdue = true;
  EXPECT_EQ(placed(plan(snapshot, rng), 1), 2U);
}

// Processors are reserved on machines with accelerators for jobs that need both. An overdue array
// may use them nevertheless.
TEST_F(Planner, PlacesOverdueArraysOnCpusReservedForGpuJobs) {
  machine(gpu, "a");
  snapshot.reserved_gpus = 100;
  snapshot.cpus_per_gpu = 8;
  job(2, 2);
  EXPECT_EQ(placed(plan(snapshot, rng), 0), 0U);
  snapshot.jobs[0].overdue = true;
  EXPECT_EQ(placed(plan(snapshot, rng), 0), 2U);
}

TEST_F(Planner, OrdersByGuaranteeThenPriorityThenSlack) {
  machine(cpu, "a");
  auto& late = job(8, 2);
  auto& high = job(8, 2);
  auto& guaranteed = job(8, 2);
  snapshot.jobs[0].slack = 1;
  high.priority = Priority::High;
  guaranteed.team = "u";
  guaranteed.priority = late.priority = Priority::Low;
  snapshot.teams["u"].guaranteed_cpus = 16;
  const auto update_guarantees = [&] {
    GuaranteedQuota quota(snapshot.teams);
    for (auto& next : snapshot.jobs) next.guaranteed = quota.covers_next(*next.job, next.waiting);
  };
  update_guarantees();
  EXPECT_EQ(placed(plan(snapshot, rng), 2), 8U);
  snapshot.machines[0].free = {16, 0, 64};
  snapshot.teams["u"].guaranteed_cpus = 15;  // less than the 16 processors that the job needs
  for (auto& planned : snapshot.jobs) planned.waiting = 8;
  update_guarantees();
  EXPECT_EQ(placed(plan(snapshot, rng), 1), 8U);
}

TEST(GuaranteedQuota, CoversEarlierJobsFirst) {
  JobSpec job;
  job.team = "t";
  job.cpus = 30;
  std::map<std::string, TeamState> teams;
  teams["t"].guaranteed_cpus = 70;
  GuaranteedQuota quota(teams);
  EXPECT_TRUE(quota.covers_next(job, 1));
  EXPECT_TRUE(quota.covers_next(job, 1));
  EXPECT_FALSE(quota.covers_next(job, 1));
  job.team = "none";
  EXPECT_FALSE(quota.covers_next(job, 1));
}

}  // namespace
