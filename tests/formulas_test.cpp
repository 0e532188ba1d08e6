// The design's formulas against values worked by hand.

#include <gtest/gtest.h>

#include <algorithm>

#include "sched/loss.hpp"
#include "sched/order.hpp"
#include "sched/planner.hpp"
#include "sched/preemption.hpp"
#include "sched/score.hpp"

namespace {

using namespace asterstair;
using namespace asterstair::sched;

TEST(Interval, IsTheSquareRootBetweenItsClips) {
  // sqrt(2 * 4 / 0.0002) = sqrt(40000) = 200
  EXPECT_NEAR(checkpoint_interval(Seconds(4), 0.0002, 30min).count(), 200.0, 1e-9);
  // Below: checkpoint time over 0.2.
  EXPECT_NEAR(checkpoint_interval(Seconds(4), 1.0, 30min).count(), 20.0, 1e-9);
  // Above: twice the loss budget. sqrt(8 / (1/86400)) = 831 s is below an hour, so a slower loss.
  EXPECT_NEAR(checkpoint_interval(Seconds(4), 1e-9, 30min).count(), 3600.0, 1e-9);
  EXPECT_NEAR(checkpoint_interval(Seconds(4), kLossFloorPerSecond, 30min).count(), 831.384, 1e-2);
}

TEST(Score, AddsSurvivalWeightedCostToTheStartDelay) {
  EXPECT_DOUBLE_EQ(start_delay(2.5, false).count(), 25.0);
  EXPECT_DOUBLE_EQ(start_delay(2.5, true).count(), 0.0);
  // 1 - exp(-0.001 * 1000) = 0.632121
  EXPECT_NEAR(loss_probability(0.001, Seconds(1000)), 0.6321206, 1e-6);
  EXPECT_NEAR(placement_score(Seconds(10), 0.001, Seconds(1000), Seconds(20)), 22.642411, 1e-5);
  EXPECT_NEAR(placement_score(Seconds(10), 0.001, Seconds(1000), Seconds(20), 0.5), 16.321206,
              1e-5);
}

TEST(FinalSave, NeedsCheckpointAndRestartTimeWithinTheNotice) {
  EXPECT_TRUE(final_checkpoint_fits(Seconds(5), Seconds(1), Seconds(6)));
  EXPECT_FALSE(final_checkpoint_fits(Seconds(5), Seconds(1), Seconds(5.9)));
}

TEST(LossRates, CountTheWindowAboveTheFloor) {
  LossRates rates;
  const TimePoint start{};
  const LossGroup group{"a", true};
  EXPECT_DOUBLE_EQ(rates.rate(group, 5, start), kLossFloorPerSecond);
  rates.record_loss(group, start + 10s);
  rates.record_loss(group, start + 20s);
  EXPECT_DOUBLE_EQ(rates.rate(group, 4, start + 30s), 2.0 / 4 / 3600);
  EXPECT_DOUBLE_EQ(rates.rate({"a", false}, 4, start + 30s), kLossFloorPerSecond);
  EXPECT_DOUBLE_EQ(rates.rate(group, 4, start + 3615s), 1.0 / 4 / 3600);
  EXPECT_DOUBLE_EQ(rates.rate(group, 4, start + 3700s), kLossFloorPerSecond);
}

class Placing : public testing::Test {
 protected:
  Placing() {
    cpu = {"cpu", 16, 0, 64, 50, 1, 1, 0.3, Seconds(10), {"a", "b"}};
    gpu = {"gpu", 16, 2, 64, 50, 1, 5, 1.5, Seconds(10), {"a", "b"}};
    s.teams["t"];
    s.teams["u"];
  }
  void machine(const MachineType& type, const std::string& zone, bool spot = false,
               const std::set<std::string>* images = nullptr) {
    PlanMachine m;
    m.ref = s.machines.size();
    m.type = &type;
    m.zone = zone;
    m.spot = spot;
    m.free = {type.cpus, type.gpus, type.memory_gb};
    m.loss_rate = kLossFloorPerSecond;
    m.images = images;
    s.machines.push_back(m);
  }
  JobSpec& job(std::uint32_t tasks, double cpus, JobKind kind = JobKind::Array) {
    specs.push_back(std::make_unique<JobSpec>());
    JobSpec& j = *specs.back();
    j.id = "req-" + std::to_string(specs.size());
    j.team = "t";
    j.kind = kind;
    j.tasks = tasks;
    j.cpus = cpus;
    j.memory_gb = 1;
    j.image = "i";
    j.image_gb = 1;
    j.spot = true;
    PlanJob p;
    p.ref = s.jobs.size();
    p.job = &j;
    p.waiting = tasks;
    p.remaining = Seconds(60);
    p.slack = 100;
    s.jobs.push_back(p);
    return j;
  }
  std::uint32_t placed(const Plan& plan, std::size_t job_ref) {
    std::uint32_t n = 0;
    for (const auto& p : plan.placements) n += p.job == job_ref ? p.tasks : 0;
    return n;
  }
  MachineType cpu, gpu;
  Snapshot s;
  std::vector<std::unique_ptr<JobSpec>> specs;
  Rng rng{1};
};

TEST_F(Placing, PrefersTheCachedImage) {
  const std::set<std::string> cached{"i"};
  machine(cpu, "a");
  machine(cpu, "b", false, &cached);
  job(4, 2);
  const auto p = plan(s, rng);
  ASSERT_EQ(p.placements.size(), 1U);
  EXPECT_EQ(p.placements[0].machine, 1U);
  EXPECT_EQ(p.placements[0].tasks, 4U);
}

TEST_F(Placing, StartsAGangWholeOrNotAtAll) {
  machine(cpu, "a");
  machine(cpu, "b");
  job(5, 8, JobKind::Gang);
  EXPECT_TRUE(plan(s, rng).placements.empty());
  s.jobs[0].waiting = 4;
  EXPECT_EQ(placed(plan(s, rng), 0), 4U);
}

TEST_F(Placing, KeepsOneZoneAndSpread) {
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

TEST_F(Placing, HoldsTheTeamsLimit) {
  machine(cpu, "a");
  s.teams["t"].max_cpus = 10;
  s.teams["t"].used.cpus = 3;
  job(8, 2);
  EXPECT_EQ(placed(plan(s, rng), 0), 3U);
}

// Room is kept for a gang that waits; whoever has nothing anywhere for long may use it all the
// same: no job is left waiting for 90 s beside a machine with room.
TEST_F(Placing, AnOverdueJobTakesWhatIsKeptForOthers) {
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

// The same for processors that are left alone beside accelerators which will be wanted.
TEST_F(Placing, AnOverdueArrayTakesProcessorsBesideAccelerators) {
  machine(gpu, "a");
  s.keep_gpus = 100;
  s.cpus_per_gpu = 8;
  job(2, 2);
  EXPECT_EQ(placed(plan(s, rng), 0), 0U);
  s.jobs[0].overdue = true;
  EXPECT_EQ(placed(plan(s, rng), 0), 2U);
}

TEST_F(Placing, PutsGuaranteesBeforePriorityBeforeSlack) {
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

TEST(Guarantee, GoesToTheEarlierJobs) {
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

TEST_F(Placing, StopsOnlyLowerPriorityAndWorkAboveOthersGuarantees) {
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

// Stops take a moment to be carried out, and rounds follow one another sooner. With a random sample
// of machines each round found room being made on some of them only, and stopped others once more
// for the same tasks. Guard: Preemption::sample_of.
TEST_F(Placing, StopsNoMoreWhileRoomIsBeingMade) {
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

  // The next round: told, and not yet gone.
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
