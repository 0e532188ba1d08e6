// Failover: what the next leader must get right, and when a leader hands over.

#include <gtest/gtest.h>

#include "sim/scenario.hpp"
#include "sim/traffic.hpp"

namespace {

using namespace sim;

// Leaders follow one another before the workers send two heartbeats to any of them, and each first
// answer renews the leases once. Guard: HeartbeatCommands::stops_for_ended_jobs.
TEST(Failover, FirstAnswersStopTasksOfFinalJobs) {
  Scenario scenario(44, 3, 3, {.report_s = 3, .lease_s = 20, .cancel_s = 40});
  const auto id = scenario.users.submit(array_job(2, 400));
  scenario.run_until(40);
  const int old = scenario.leader();
  ASSERT_GE(old, 0);
  std::size_t first = 0, stopped = 0;
  scenario.crash(old, 30);
  drop_direct_commands(scenario.network);
  scenario.cancel_through_next_node(old, id);
  std::set<std::string> seen;
  scenario.network.alter_response = [&](const std::string&, const HttpRequest& request,
                                        HttpResponse& response) {
    if (!is_accepted_heartbeat(request, response)) return;
    const auto in = Json::parse(request.body), out = Json::parse(response.body);
    bool holds = false;
    for (const auto& p : in["pieces"]) holds = holds || p["stage"] != "exited";
    if (!holds || !seen.insert(in["host"]).second) return;
    ++first;
    for (const auto& command : out["orders"]) stopped += command["verb"] == "kill" ? 1 : 0;
  };
  scenario.run_until(120);
  EXPECT_GT(first, 0U);
  EXPECT_GE(stopped, 2U) << "both tasks, in the first answers";
  EXPECT_TRUE(scenario.checker.violations.empty()) << scenario.checker.report();
}

// Jobs of a few tasks that end far apart, with a new leader between any two.
TEST(Failover, FinishesJobsWhoseTasksEndInDifferentTerms) {
  for (const std::uint64_t seed : {52, 53, 54}) {
    Scenario scenario(seed, 3, 5);
    std::vector<std::string> ids;
    for (std::uint32_t n : {2U, 3U, 2U, 3U}) {
      auto job = array_job(n, 30);
      job.workload.cpus = 16;  // one a machine
      ids.push_back(scenario.users.submit(job));
      scenario.run_until(scenario.simulator.elapsed() + 9);
    }
    for (double t = 40; t < 160; t += 13) {
      scenario.simulator.schedule(Seconds(t - scenario.simulator.elapsed()), [&scenario] {
        if (scenario.leader() >= 0) scenario.crash(scenario.leader(), 0.2);
      });
    }
    scenario.simulator.schedule(160s, [&scenario] { scenario.checker.on_faults_over(); });
    scenario.run_until(500);
    for (const auto& id : ids)
      EXPECT_EQ(scenario.checker.final_stage(id), "done") << id << " seed " << seed;
    EXPECT_TRUE(scenario.checker.violations.empty()) << "seed " << seed << "\n"
                                                     << scenario.checker.report();
  }
}

// All machines are gone as a leader ends. Each next leader got no heartbeat for a few seconds and
// handed over, long before the leases of the registered machines had expired. That went on for
// ever, and nothing was started any more. Guard: LeadershipMonitor::check_own_term asks whether the
// peer gets heartbeats.
TEST(Failover, EndsHandoversWhenAllMachinesAreGone) {
  Scenario scenario(61, 3, 5);
  for (int i = 0; i < 6; ++i) scenario.users.submit(array_job(8, 300));
  scenario.run_until(40);
  ASSERT_GE(scenario.cloud.running_workers().size(), 4U);
  for (const auto& worker : scenario.cloud.running_workers()) scenario.cloud.reclaim(worker->id);
  ASSERT_GE(scenario.leader(), 0);
  scenario.crash(scenario.leader(), 1);
  const auto id = scenario.users.submit(array_job(1, 5));
  scenario.run_until(120);
  EXPECT_EQ(scenario.checker.final_stage(id), "done");
  EXPECT_TRUE(scenario.checker.violations.empty()) << scenario.checker.report();
}

// A machine that never gets an answer from the new leader keeps sending heartbeats. As long as that
// lasted, the term did not settle, and teams with a limit and all earlier jobs waited. Without
// answers, its lease expires here too. Guard: WorkerHealth::never_saw_token.
TEST(Failover, SettlesBesideAMachineThatGetsNoAnswers) {
  Scenario scenario(62, 3, 3, {.report_s = 3, .lease_s = 20, .cancel_s = 40});
  scenario.users.submit(array_job(8, 400));
  scenario.run_until(40);
  const auto machines = scenario.cloud.running_workers();
  ASSERT_FALSE(machines.empty());
  scenario.set_command_drop(machines.front()->id, true);
  scenario.crash(scenario.leader(), 0.2);
  scenario.run_until(42);
  const auto id = scenario.users.submit(array_job(1, 5, "red"));
  // A lease, a round of the three nodes until the next heartbeat comes here, a boot and the job.
  scenario.run_until(42 + 20 + 15 + 13 + 8 + 5);
  EXPECT_EQ(scenario.checker.final_stage(id), "done");
  EXPECT_TRUE(scenario.checker.violations.empty()) << scenario.checker.report();
}

// The state service keeps a limited history. Followers watch the leader's key, which seldom
// changes. A watch from the key's version was refused at once, again and again, for all followers.
TEST(Follower, KeepsItsWatchWhenTheLeaderKeyIsOld) {
  Scenario scenario(31);
  scenario.store.history_limit = 20;
  for (int i = 0; i < 40; ++i) {
    scenario.simulator.schedule(Seconds(i),
                                [&scenario] { scenario.users.submit(array_job(2, 5)); });
  }
  scenario.run_until(60);
  const auto before = scenario.store.watches_opened;
  scenario.run_until(120);
  // Two followers open one in 10 s each, the leader one in 5 s, and more when jobs end.
  EXPECT_LT(scenario.store.watches_opened - before, 100U);
  EXPECT_TRUE(scenario.checker.violations.empty()) << scenario.checker.report();
}

// A leader that alone loses the state service would keep its grant for many seconds, in which
// nothing starts that others accept.
TEST(Handover, FollowsWhenTheLeaderAloneLosesTheStateService) {
  Scenario scenario(32, 3, 5);
  scenario.users.submit(array_job(4, 30));
  scenario.run_until(30);
  const int first = scenario.leader();
  ASSERT_GE(first, 0);
  scenario.network.set_unavailable(scenario.node_name(first), "state", true);
  scenario.run_until(38);
  EXPECT_GE(scenario.leader(), 0);
  EXPECT_NE(scenario.leader(), first);
  scenario.run_until(42);
  const auto before = scenario.checker.starts;
  const auto id = scenario.users.submit(array_job(1, 5));
  scenario.run_until(70);
  EXPECT_GT(scenario.checker.starts, before);
  EXPECT_EQ(scenario.checker.final_stage(id), "done");
  scenario.network.set_unavailable(scenario.node_name(first), "state", false);
  scenario.run_until(90);
  EXPECT_TRUE(scenario.checker.violations.empty()) << scenario.checker.report();
}

// An outage is the same for all. Stepping down would cost the valid lease with which the work goes
// on.
TEST(Handover, DoesNotFollowAnOutageForAll) {
  Scenario scenario(33, 3, 5);
  scenario.users.submit(array_job(4, 60));
  scenario.run_until(30);
  const int first = scenario.leader();
  ASSERT_GE(first, 0);
  scenario.store.set_outage(true);
  for (int t = 31; t <= 44; ++t) {
    scenario.run_until(t);
    ASSERT_EQ(scenario.leader(), first) << "at " << t << " s";
  }
  scenario.store.set_outage(false);
  scenario.run_until(60);
  EXPECT_EQ(scenario.leader(), first);
}

// A leader that no worker reaches renews its grant for ever, and every worker's lease would expire.
TEST(Handover, FollowsWhenTheLeaderAloneLosesTheWorkers) {
  Scenario scenario(34, 3, 5);
  for (int i = 0; i < 6; ++i) scenario.users.submit(array_job(6, 200));
  scenario.run_until(40);
  const int first = scenario.leader();
  ASSERT_GE(first, 0);
  const auto machines = scenario.cloud.running_workers();
  ASSERT_GE(machines.size(), 3U);
  // Idle ones may be returned meanwhile.
  const auto epochs = scenario.cloud.epochs_of_busy_workers();
  for (const auto& worker : machines) {
    scenario.network.set_two_way_drop(scenario.node_name(first), worker->id, true);
  }
  ASSERT_GE(epochs.size(), 9U);  // 36 tasks, four to a machine
  scenario.run_until(100);
  EXPECT_GE(scenario.leader(), 0);
  EXPECT_NE(scenario.leader(), first);
  for (const auto& worker : machines) {
    const auto busy = epochs.find(worker->id);
    if (busy == epochs.end()) continue;
    EXPECT_FALSE(worker->terminated) << worker->id;
    EXPECT_EQ(worker->epoch(), busy->second) << worker->id << ": its lease has run out";
  }
  scenario.network.clear_drops();
  scenario.run_until(400);
  EXPECT_TRUE(scenario.checker.violations.empty()) << scenario.checker.report();
}

// In an outage for all nobody confirms any cancellation, so jobs that have begun are continued.
TEST(StateServiceOutage, DoesNotStopFurtherStarts) {
  Scenario scenario(49, 1, 5);
  for (int i = 0; i < 10; ++i) scenario.users.submit(array_job(60, 4));
  scenario.run_until(40);
  scenario.store.set_outage(true);
  scenario.run_until(45);
  const auto before = scenario.checker.starts;
  scenario.run_until(52);
  EXPECT_GT(scenario.checker.starts, before + 20);
}

}  // namespace
