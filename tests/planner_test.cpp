// The planner: which tasks are placed where, and in which order.

#include "sched/planner.hpp"

#include <gtest/gtest.h>

#include "sched/order.hpp"
#include "scheduler_fixture.hpp"

namespace {

using namespace asterstair;
using namespace asterstair::sched;

class Planner : public test_support::SchedulerFixture {};

TEST_F(Planner, PrefersMachinesWithTheImage) {
  const std::set<std::string> cached{"i"};
  machine(cpu, "a");
  machine(cpu, "b", false, &cached);
  job(4, 2);
  const auto p = plan(s, rng);
  ASSERT_EQ(p.placements.size(), 1U);
  EXPECT_EQ(p.placements[0].machine, 1U);
  EXPECT_EQ(p.placements[0].tasks, 4U);
}

TEST_F(Planner, PlacesAGangWholeOrNotAtAll) {
  machine(cpu, "a");
  machine(cpu, "b");
  job(5, 8, JobKind::Gang);
  EXPECT_TRUE(plan(s, rng).placements.empty());
  s.jobs[0].waiting = 4;
  EXPECT_EQ(placed(plan(s, rng), 0), 4U);
}

TEST_F(Planner, KeepsZoneConstraints) {
  machine(cpu, "a");
  machine(cpu, "b");
  job(4, 8, JobKind::Gang).one_zone = true;
  EXPECT_TRUE(plan(s, rng).placements.empty());
  specs[0]->one_zone = false;
  specs[0]->spread = true;
  const auto p = plan(s, rng);
  ASSERT_EQ(p.placements.size(), 2U);
  EXPECT_EQ(p.placements[0].tasks, 2U);
}

TEST_F(Planner, KeepsTheTeamLimit) {
  machine(cpu, "a");
  s.teams["t"].max_cpus = 10;
  s.teams["t"].used.cpus = 3;
  job(8, 2);
  EXPECT_EQ(placed(plan(s, rng), 0), 3U);
}

// Room is reserved for a waiting gang. A job that has had no task running for long may use it all
// the same: no job waits for 90 s beside a machine with room.
TEST_F(Planner, GivesReservedRoomToOverdueJobs) {
  machine(cpu, "a");
  s.machines[0].free = {10, 0, 60};
  job(1, 16, JobKind::Gang);
  s.jobs[0].waited = Seconds(60);
  s.jobs[0].slack = 1;
  job(2, 2);
  EXPECT_EQ(placed(plan(s, rng), 1), 0U);
  s.machines[0].reserved_for.reset();
  s.jobs[1].overdue = true;
  EXPECT_EQ(placed(plan(s, rng), 1), 2U);
}

// The same for processors that are reserved beside accelerators which will be wanted.
TEST_F(Planner, GivesCpusBesideGpusToOverdueArrays) {
  machine(gpu, "a");
  s.keep_gpus = 100;
  s.cpus_per_gpu = 8;
  job(2, 2);
  EXPECT_EQ(placed(plan(s, rng), 0), 0U);
  s.jobs[0].overdue = true;
  EXPECT_EQ(placed(plan(s, rng), 0), 2U);
}

TEST_F(Planner, OrdersByGuaranteeThenPriorityThenSlack) {
  machine(cpu, "a");
  auto& late = job(8, 2);
  auto& high = job(8, 2);
  auto& guaranteed = job(8, 2);
  s.jobs[0].slack = 1;
  high.priority = Priority::High;
  guaranteed.team = "u";
  guaranteed.priority = late.priority = Priority::Low;
  s.teams["u"].guaranteed_cpus = 16;
  const auto mark = [&] {
    GuaranteedQuota quota(s.teams);
    for (auto& j : s.jobs) j.guaranteed = quota.covers_next(*j.job, j.waiting);
  };
  mark();
  EXPECT_EQ(placed(plan(s, rng), 2), 8U);
  s.machines[0].free = {16, 0, 64};
  s.teams["u"].guaranteed_cpus = 15;  // no longer fits
  for (auto& j : s.jobs) j.waiting = 8;
  mark();
  EXPECT_EQ(placed(plan(s, rng), 1), 8U);
}

TEST(Guarantees, GoToTheEarlierJobs) {
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
