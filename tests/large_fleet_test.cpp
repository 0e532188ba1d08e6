// Clusters of the maximum supported size, and load far above the usual.

#include <gtest/gtest.h>

#include "sim/scenario.hpp"

namespace {

using namespace sim;

// Four thousand machines: scale out, a leader crash, a partition of one zone and the cancellation
// of most jobs.
TEST(LargeFleet, KeepsTheRulesThroughFailoverPartitionAndMassCancellation) {
  Scenario scenario(4001, 4008 / Scenario::kPools);
  std::vector<std::string> long_jobs, short_jobs;
  scenario.run_until(2);
  // More tasks than the cluster can run, so that all machines are rented: at most four fit on one.
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

// Hundreds of machines and five nodes; the leader crashes repeatedly.
TEST(LargeFleet, KeepsTheRulesAndServesEveryClass) {
  Scenario scenario(27, 20, 5);
  auto& simulator = scenario.simulator;
  for (double t = 1; t < 90; t += simulator.uniform(0.5, 1.5) * 0.6) {
    simulator.schedule(Seconds(t), [&scenario, &simulator] {
      auto job = random_job(simulator);
      // The quota of team red allows few tasks.
      if (simulator.chance(0.9)) job.requirements.team = "blue";
      if (!job.workload.gang && job.requirements.team == "blue") job.workload.tasks *= 5;
      scenario.users.submit(job);
    });
  }
  for (const int at : {40, 55, 56, 80}) {
    simulator.schedule(std::chrono::seconds(at), [&scenario, &simulator] {
      if (scenario.leader() >= 0) scenario.crash(scenario.leader(), simulator.uniform(0.05, 3));
    });
  }
  simulator.schedule(100s, [&scenario] { scenario.checker.on_faults_over(); });
  scenario.run_until(420);
  // Team blue has no limit and the cluster has room for all its jobs, so they can always start.
  scenario.checker.check_service(
      [&scenario](const std::string& id) { return scenario.checker.team_of(id) == "blue"; });
  EXPECT_TRUE(scenario.checker.violations.empty()) << scenario.checker.report();
  EXPECT_GT(scenario.checker.starts, 2000U);
}

// Scale out from no machines to hundreds. Guards against renting too slowly: with one request a
// second, the requests would take longer than the machines take to boot.
TEST(LargeFleet, RentsHundredsOfMachinesWithinTheBootTime) {
  Scenario scenario(35, 60);
  auto job = array_job(1000, 60);
  job.requirements.spot = true;
  for (int i = 0; i < 2; ++i) scenario.users.submit(job);
  scenario.run_until(18);  // boots take up to 12 s
  EXPECT_GE(scenario.cloud.running_workers().size(), 300U);
  EXPECT_TRUE(scenario.checker.violations.empty()) << scenario.checker.report();
}

// Guards against starvation of large jobs. While the cluster is full, smaller jobs that can still
// meet their objectives precede them. The largest jobs must nevertheless start within four minutes.
TEST(LargestJobs, StartWithinFourMinutesInAFullCluster) {
  Scenario scenario(36, 1);
  scenario.run_until(5);
  for (int i = 0; i < 3; ++i) scenario.users.submit(array_job(60, 20));
  scenario.run_until(20);
  const auto large = scenario.users.submit(array_job(600, 20));
  auto gang = array_job(6, 20);
  gang.workload.gang = true;
  gang.workload.cpus = 8;
  const auto large_gang = scenario.users.submit(gang);
  for (int i = 0; i < 200; ++i) {
    scenario.simulator.schedule(Seconds(i * 2.0),
                                [&scenario] { scenario.users.submit(array_job(12, 20)); });
  }
  scenario.run_until(20 + 240);
  EXPECT_TRUE(scenario.checker.has_begun(large));
  EXPECT_TRUE(scenario.checker.has_begun(large_gang));
  EXPECT_TRUE(scenario.checker.violations.empty()) << scenario.checker.report();
}

// Users query their jobs far more often than usual. At least 95 % of the queries must be answered
// within the 2 s for which users wait, and the state service must receive far fewer requests than
// the nodes. store::ReadQueue ensures this: it answers many reads of live jobs from one list.
TEST(Queries, AreAnsweredFarAboveTheUsualRate) {
  Scenario scenario(64);
  std::vector<std::string> ids;
  for (int i = 0; i < 300; ++i) {
    scenario.simulator.schedule(Seconds(i * 0.1),
                                [&] { ids.push_back(scenario.users.submit(array_job(1, 400))); });
  }
  scenario.run_until(60);
  std::size_t queries = 0, answered = 0, state_reads = 0;
  scenario.network.drop_request = [&](const std::string&, const std::string&,
                                      const HttpRequest& request) {
    state_reads += request.target.rfind("/keys", 0) == 0 ? 1 : 0;
    return false;
  };
  for (double t = 0; t < 20; t += 0.001) {
    scenario.simulator.schedule(Seconds(t), [&] {
      const auto& id = ids[static_cast<std::size_t>(scenario.simulator.uniform(0, 299.9))];
      ++queries;
      scenario.users.query(id, [&](int status) { answered += status == 200 ? 1 : 0; });
    });
  }
  scenario.run_until(85);
  EXPECT_GT(answered, queries * 95 / 100) << "of " << queries;
  EXPECT_LT(state_reads, queries / 4);
  EXPECT_TRUE(scenario.checker.violations.empty()) << scenario.checker.report();
}

}  // namespace
