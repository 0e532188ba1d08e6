// Starts of gangs whose tasks are not ready at the same time, because some machines have the image
// and others must fetch it.

#include <gtest/gtest.h>

#include <set>
#include <string>

#include "sim/scenario.hpp"
#include "sim/traffic.hpp"

namespace {

using namespace sim;

// A machine fetches 0.5 GB/s, so that the image takes longer than a task waits for its gang.
constexpr Timing kShortGangWait{.gang_wait_s = 6};
constexpr double kImageGb = 5;
constexpr double kRunS = 40;
// No job may wait longer beside a machine that fits.
constexpr double kMaxWaitS = 90;

// A gang of which each task fills a machine.
Submission gang_job(std::uint32_t tasks) {
  auto job = array_job(tasks, kRunS);
  job.workload.gang = true;
  job.workload.cpus = 16;
  job.workload.image_gb = kImageGb;
  return job;
}

// Runs until the whole gang is on machines. Returns false if that takes too long.
bool run_until_present(Scenario& scenario, const std::string& id, std::uint32_t tasks) {
  const double end = scenario.simulator.elapsed() + kMaxWaitS;
  while (scenario.checker.tasks_present(id) < tasks && scenario.simulator.elapsed() < end) {
    scenario.run_until(scenario.simulator.elapsed() + 0.1);
  }
  return scenario.checker.tasks_present(id) == tasks;
}

void reclaim_busy_machines(Scenario& scenario, std::size_t count) {
  for (const auto& [machine, epoch] : scenario.cloud.epochs_of_busy_workers()) {
    if (count == 0) return;
    scenario.cloud.reclaim(machine);
    --count;
  }
}

// A gang lost a machine, and the next one had to fetch the image for longer than gang_wait_s. The
// tasks that had the image exited with `alone`, the leader stopped those that were fetching, which
// gave the fetch up, and everything began anew, without end. Guard: AttemptTracker::rejoin_gang.
TEST(GangStart, CompletesThoughAnImageTakesLongerThanTasksWait) {
  for (const std::uint32_t tasks : {2U, 5U, 7U}) {
    for (const std::uint64_t seed : {141, 142, 143}) {
      Scenario scenario(seed, 3, 3, kShortGangWait);
      const auto id = scenario.users.submit(gang_job(tasks));
      ASSERT_TRUE(run_until_present(scenario, id, tasks));
      scenario.run_until(scenario.simulator.elapsed() + 5);
      reclaim_busy_machines(scenario, (tasks + 1) / 3);
      // A lease, a boot, the fetch, a few heartbeats and the run.
      scenario.run_until(scenario.simulator.elapsed() + kMaxWaitS + kRunS);
      EXPECT_EQ(scenario.checker.final_stage(id), "done") << tasks << " tasks, seed " << seed;
      EXPECT_TRUE(scenario.checker.violations.empty()) << scenario.checker.report();
    }
  }
}

// As above, and the leader crashes while the gang waits, more than once.
TEST(GangStart, CompletesAcrossChangesOfLeader) {
  for (const std::uint64_t seed : {144, 145, 146}) {
    Scenario scenario(seed, 3, 3, kShortGangWait);
    const auto id = scenario.users.submit(gang_job(3));
    ASSERT_TRUE(run_until_present(scenario, id, 3));
    scenario.run_until(scenario.simulator.elapsed() + 5);
    reclaim_busy_machines(scenario, 1);
    for (int crashes = 0; crashes < 2; ++crashes) {
      scenario.run_until(scenario.simulator.elapsed() + 16);
      if (scenario.leader() >= 0) scenario.crash(scenario.leader(), 0.3);
    }
    scenario.run_until(scenario.simulator.elapsed() + kMaxWaitS + kRunS);
    EXPECT_EQ(scenario.checker.final_stage(id), "done") << "seed " << seed;
    EXPECT_TRUE(scenario.checker.violations.empty()) << scenario.checker.report();
  }
}

// A gang that rejoins must stay cancellable: none of its tasks may start again.
TEST(GangStart, EndsWhenItsJobIsCancelledWhileItWaits) {
  for (const double cancelled_after_s : {12.0, 17.0, 20.0}) {
    Scenario scenario(147, 3, 3, kShortGangWait);
    const auto id = scenario.users.submit(gang_job(3));
    ASSERT_TRUE(run_until_present(scenario, id, 3));
    scenario.run_until(scenario.simulator.elapsed() + 5);
    reclaim_busy_machines(scenario, 1);
    scenario.run_until(scenario.simulator.elapsed() + cancelled_after_s);
    scenario.users.cancel(id);
    scenario.run_until(scenario.simulator.elapsed() + 60);
    EXPECT_EQ(scenario.checker.final_stage(id), "withdrawn");
    EXPECT_EQ(scenario.checker.tasks_present(id), 0U);
    EXPECT_EQ(scenario.checker.starts_after_cancel, 0U);
    EXPECT_TRUE(scenario.checker.violations.empty()) << scenario.checker.report();
  }
}

// The response that starts one task of a gang is lost. The gang was stopped whole and began anew,
// and the other tasks gave their fetches up, though only that response had to be repeated. Guard:
// AttemptTracker::on_not_started.
TEST(GangStart, KeepsItsAttemptWhenAResponseWithAStartIsLost) {
  for (const std::uint64_t seed : {151, 152, 153}) {
    Scenario scenario(seed);
    std::set<std::uint64_t> attempts;
    std::set<std::string> lost;
    scenario.network.alter_response = [&](const std::string&, const HttpRequest& request,
                                          HttpResponse& response) {
      if (!is_accepted_heartbeat(request, response)) return;
      const auto orders = Json::parse(response.body)["orders"];
      for (const auto& command : orders) {
        if (command["verb"] != "run") continue;
        attempts.insert(command["try"].get<std::uint64_t>());
        const bool first_for_machine =
            lost.size() < 2 && lost.insert(Json::parse(request.body)["host"]).second;
        if (first_for_machine) response = {};
      }
    };
    const auto id = scenario.users.submit(gang_job(5));
    ASSERT_TRUE(run_until_present(scenario, id, 5));
    EXPECT_EQ(lost.size(), 2U);
    EXPECT_EQ(attempts.size(), 1U) << "seed " << seed;
    scenario.run_until(scenario.simulator.elapsed() + kRunS + 10);
    EXPECT_EQ(scenario.checker.final_stage(id), "done") << "seed " << seed;
    EXPECT_TRUE(scenario.checker.violations.empty()) << scenario.checker.report();
  }
}

// However long an array task fetches its image, it is started once: nothing stops it and begins it
// anew while nothing has changed.
TEST(ArrayStart, LeavesTasksThatFetchForLongAlone) {
  Scenario scenario(148, 3, 3, kShortGangWait);
  auto job = array_job(6, 20);
  job.workload.image_gb = 60;  // 120 s
  const auto id = scenario.users.submit(job);
  scenario.run_until(220);
  EXPECT_EQ(scenario.checker.final_stage(id), "done");
  EXPECT_EQ(scenario.checker.starts_of(id), 6U);
  EXPECT_TRUE(scenario.checker.violations.empty()) << scenario.checker.report();
}

}  // namespace
