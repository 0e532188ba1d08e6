// Fleets as large as the service is asked to direct: the rules through a start, a change of leader,
// a zone cut and a mass of cancellations.

#include <gtest/gtest.h>

#include "sim/scenario.hpp"

namespace {

using namespace sim;

TEST(FourThousandMachines, KeepTheRulesThroughAChangeOfLeaderAZoneCutAndCancellations) {
  Scenario s(4001, 4008 / Scenario::kPools);
  std::vector<std::string> long_jobs, short_jobs;
  s.world.run_until(2);
  // More than the fleet holds, so that all of it is rented: four tasks fit on a machine at the
  // most.
  for (int i = 0; i < 40; ++i) long_jobs.push_back(s.submit(spot_array(400, 600)));
  s.world.run_until(60);
  EXPECT_GE(s.cloud.running().size(), 4000U);

  const int first = s.leader();
  ASSERT_GE(first, 0);
  s.crash(first, 20);
  s.world.run_until(75);
  EXPECT_GE(s.leader(), 0);

  std::set<std::string> zone;
  for (const auto& m : s.cloud.running()) {
    if (m->zone == "south") zone.insert(m->id);
  }
  EXPECT_GT(zone.size(), 1000U);
  s.world.cut_off(zone);
  s.world.run_until(90);  // longer than a lease
  s.world.join_again();

  for (std::size_t i = 0; i < long_jobs.size(); ++i) {
    if (i % 8 != 0) s.cancel(long_jobs[i]);
  }
  for (int i = 0; i < 30; ++i) short_jobs.push_back(s.submit(array(100, 5)));
  s.world.run_until(150);

  EXPECT_TRUE(s.checker.broken.empty()) << s.checker.text();
  for (const auto& job : short_jobs) EXPECT_TRUE(s.checker.over(job)) << job;
  for (std::size_t i = 0; i < long_jobs.size(); ++i) {
    EXPECT_EQ(s.checker.over(long_jobs[i]), i % 8 != 0) << long_jobs[i];
  }
}

}  // namespace
