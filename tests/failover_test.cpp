// Failover: what the next leader must preserve, and when a leader steps down in favour of a peer.

#include <gtest/gtest.h>

#include "sim/scenario.hpp"
#include "sim/traffic.hpp"

namespace {

using namespace sim;

// The first response of a new leader to a worker renews the worker's lease. If leaders change so
// fast that a worker sends no second heartbeat to any of them, tasks of ended jobs would keep
// running, so the first response must stop them already. Guard:
// HeartbeatCommands::stops_for_ended_jobs.
TEST(Failover, FirstResponsesStopTasksOfEndedJobs) {
  Scenario scenario(44, 3, 3, {.report_s = 3, .lease_s = 20, .cancel_s = 40});
  const auto id = scenario.users.submit(array_job(2, 400));
  scenario.run_until(40);
  const int old = scenario.leader();
  ASSERT_GE(old, 0);
  std::size_t first_responses = 0, stopped = 0;
  scenario.crash(old, 30);
  drop_direct_commands(scenario.network);
  scenario.cancel_through_next_node(old, id);
  std::set<std::string> seen;
  scenario.network.alter_response = [&](const std::string&, const HttpRequest& request,
                                        HttpResponse& response) {
    if (!is_accepted_heartbeat(request, response)) return;
    const auto in = Json::parse(request.body), out = Json::parse(response.body);
    bool has_tasks = false;
    for (const auto& task : in["pieces"]) has_tasks = has_tasks || task["stage"] != "exited";
    if (!has_tasks || !seen.insert(in["host"]).second) return;
    ++first_responses;
    for (const auto& command : out["orders"]) stopped += command["verb"] == "kill" ? 1 : 0;
  };
  scenario.run_until(120);
  EXPECT_GT(first_responses, 0U);
  EXPECT_GE(stopped, 2U) << "the first responses must stop both tasks";
  EXPECT_TRUE(scenario.checker.violations.empty()) << scenario.checker.report();
}

// The tasks of a job end at widely different times, each under another leader. The progress of the
// job must survive each failover.
TEST(Failover, FinishesJobsWhoseTasksEndInDifferentTerms) {
  for (const std::uint64_t seed : {52, 53, 54}) {
    Scenario scenario(seed, 3, 5);
    std::vector<std::string> ids;
    for (std::uint32_t n : {2U, 3U, 2U, 3U}) {
      auto job = array_job(n, 30);
      job.workload.cpus = 16;  // one task per machine
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

// All machines are terminated and the leader crashes. Each next leader received no heartbeat for a
// few seconds and stepped down, long before the leases of the registered machines expired. This
// repeated without end, and no task was started any more. Guard: LeadershipMonitor::check_own_term
// asks whether the peer receives heartbeats.
TEST(Failover, EndsHandoversWhenAllMachinesAreTerminated) {
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

// A machine keeps sending heartbeats but receives no responses from the new leader. While that
// lasted, the term was not reconciled, so that jobs of teams with a limit and all earlier jobs had
// to wait. The leader must refuse such heartbeats, so that the machine's lease expires at the
// leader too. Guard: WorkerHealth::never_saw_token.
TEST(Failover, ReconcilesDespiteAMachineThatReceivesNoResponses) {
  Scenario scenario(62, 3, 3, {.report_s = 3, .lease_s = 20, .cancel_s = 40});
  scenario.users.submit(array_job(8, 400));
  scenario.run_until(40);
  const auto machines = scenario.cloud.running_workers();
  ASSERT_FALSE(machines.empty());
  scenario.set_command_drop(machines.front()->id, true);
  scenario.crash(scenario.leader(), 0.2);
  scenario.run_until(42);
  const auto id = scenario.users.submit(array_job(1, 5, "red"));
  // A worker's lease, the time in which the worker tries all three nodes until its next heartbeat
  // arrives at the leader, a boot, and the job.
  scenario.run_until(42 + 20 + 15 + 13 + 8 + 5);
  EXPECT_EQ(scenario.checker.final_stage(id), "done");
  EXPECT_TRUE(scenario.checker.violations.empty()) << scenario.checker.report();
}

// Followers watch the leader key, which seldom changes, and the state service keeps a limited
// history of changes. When the key's version was older than the history, each watch from it was
// refused at once, and all followers retried without end.
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
  // Two followers each open one watch per 10 s, the leader one per 5 s, and more when jobs end.
  EXPECT_LT(scenario.store.watches_opened - before, 100U);
  EXPECT_TRUE(scenario.checker.violations.empty()) << scenario.checker.report();
}

// Only the leader loses the state service. Without a handover it would keep its store lease for
// many seconds, in which no job starts that the other nodes accept.
TEST(Handover, HappensWhenOnlyTheLeaderLosesTheStateService) {
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

// All nodes lose the state service, so no peer can do better. Stepping down would give up the valid
// lease under which the work continues.
TEST(Handover, DoesNotHappenWhenAllNodesLoseTheStateService) {
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

// No worker reaches the leader, which can still renew its store lease indefinitely. Without a
// handover every worker's lease would expire.
TEST(Handover, HappensWhenOnlyTheLeaderLosesTheWorkers) {
  Scenario scenario(34, 3, 5);
  for (int i = 0; i < 6; ++i) scenario.users.submit(array_job(6, 200));
  scenario.run_until(40);
  const int first = scenario.leader();
  ASSERT_GE(first, 0);
  const auto machines = scenario.cloud.running_workers();
  ASSERT_GE(machines.size(), 3U);
  // Only busy workers are checked, because idle ones may be returned meanwhile.
  const auto epochs = scenario.cloud.epochs_of_busy_workers();
  for (const auto& worker : machines) {
    scenario.network.set_two_way_drop(scenario.node_name(first), worker->id, true);
  }
  ASSERT_GE(epochs.size(), 9U);  // 36 tasks, four per machine
  scenario.run_until(100);
  EXPECT_GE(scenario.leader(), 0);
  EXPECT_NE(scenario.leader(), first);
  for (const auto& worker : machines) {
    const auto busy = epochs.find(worker->id);
    if (busy == epochs.end()) continue;
    EXPECT_FALSE(worker->terminated) << worker->id;
    EXPECT_EQ(worker->epoch(), busy->second) << worker->id << ": its lease has expired";
  }
  scenario.network.clear_drops();
  scenario.run_until(400);
  EXPECT_TRUE(scenario.checker.violations.empty()) << scenario.checker.report();
}

// While all nodes lose the state service, no node can confirm a cancellation. It is therefore safe
// to start further tasks of jobs that have begun, and the leader must do so.
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
