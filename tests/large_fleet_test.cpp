// Fleets as large as the service is asked to direct: the rules through a start, a change of leader,
// a zone cut and a mass of cancellations.

#include <gtest/gtest.h>

#include "sim/scenario.hpp"

namespace {

using namespace sim;

TEST(FourThousandMachines, KeepTheRulesThroughAChangeOfLeaderAZoneCutAndCancellations) {
  Scenario scenario(4001, 4008 / Scenario::kPools);
  std::vector<std::string> long_jobs, short_jobs;
  scenario.run_until(2);
  // More than the fleet holds, so that all of it is rented: four tasks fit on a machine at the
  // most.
  for (int i = 0; i < 40; ++i) long_jobs.push_back(scenario.users.submit(spot_array_job(400, 600)));
  scenario.run_until(60);
  EXPECT_GE(scenario.cloud.running_workers().size(), 4000U);

  const int first = scenario.leader();
  ASSERT_GE(first, 0);
  scenario.crash(first, 20);
  scenario.run_until(75);
  EXPECT_GE(scenario.leader(), 0);

  std::set<std::string> zone;
  for (const auto& worker : scenario.cloud.running_workers()) {
    if (worker->zone == "south") zone.insert(worker->id);
  }
  EXPECT_GT(zone.size(), 1000U);
  scenario.network.partition(zone);
  scenario.run_until(90);  // longer than a lease
  scenario.network.heal_partitions();

  for (std::size_t i = 0; i < long_jobs.size(); ++i) {
    if (i % 8 != 0) scenario.users.cancel(long_jobs[i]);
  }
  for (int i = 0; i < 30; ++i) short_jobs.push_back(scenario.users.submit(array_job(100, 5)));
  scenario.run_until(150);

  EXPECT_TRUE(scenario.checker.violations.empty()) << scenario.checker.report();
  for (const auto& job : short_jobs) EXPECT_TRUE(scenario.checker.is_final(job)) << job;
  for (std::size_t i = 0; i < long_jobs.size(); ++i) {
    EXPECT_EQ(scenario.checker.is_final(long_jobs[i]), i % 8 != 0) << long_jobs[i];
  }
}

}  // namespace
