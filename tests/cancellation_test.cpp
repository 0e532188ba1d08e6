// Cancellations during other faults: once a user is told that a job is cancelled, its tasks end in
// time and none of them starts. Each test fails without the guard that it names.

#include <gtest/gtest.h>

#include "sim/scenario.hpp"
#include "sim/traffic.hpp"

namespace {

using namespace sim;

struct RefusalTimes {
  const char* name;
  Timing timing;
  double alone_s;  // the refusal before the outage
};
void PrintTo(const RefusalTimes& t, std::ostream* out) { *out << t.name; }

class RefusalThenOutage : public testing::TestWithParam<std::tuple<RefusalTimes, int>> {};

// The state service refuses the leader alone, and another controller confirms cancellations. Then
// the state service is down for all for longer than cancel_s, while the workers keep sending
// heartbeats to the old leader.
TEST_P(RefusalThenOutage, EndsCancelledTasksInTime) {
  const auto& [terms, seed] = GetParam();
  Scenario scenario(static_cast<std::uint64_t>(seed), 3, 5, terms.timing);
  std::vector<std::string> ids;
  ids.reserve(6);
  for (int i = 0; i < 6; ++i) ids.push_back(scenario.users.submit(array_job(6, 600)));
  scenario.run_until(60);
  const int leader = scenario.leader();
  ASSERT_GE(leader, 0);
  scenario.network.set_unavailable(scenario.node_name(leader), "state", true);
  for (const auto& id : ids) scenario.cancel_through_next_node(leader, id);
  scenario.run_until(60 + terms.alone_s);
  std::size_t told = 0;
  for (const auto& id : ids) told += scenario.checker.cancellation_confirmed(id) ? 1 : 0;
  EXPECT_EQ(told, ids.size());
  scenario.store.set_outage(true);
  scenario.run_until(60 + terms.alone_s + terms.timing.cancel_s + 30);
  scenario.store.set_outage(false);
  scenario.network.set_unavailable(scenario.node_name(leader), "state", false);
  scenario.run_until(60 + terms.alone_s + terms.timing.cancel_s + 60);
  EXPECT_TRUE(scenario.checker.violations.empty()) << scenario.checker.report();
  EXPECT_EQ(scenario.checker.starts_after_cancel, 0U);
}

INSTANTIATE_TEST_SUITE_P(
    Settings, RefusalThenOutage,
    testing::Combine(
        testing::Values(
            RefusalTimes{"short_lease", {}, 0.5}, RefusalTimes{"short_lease_long", {}, 12},
            RefusalTimes{"tight", {.report_s = 3, .lease_s = 20, .cancel_s = 40}, 2},
            RefusalTimes{"tightest", {.report_s = 3, .lease_s = 20, .cancel_s = 26}, 2},
            RefusalTimes{"long_lease", {.report_s = 5, .lease_s = 26.5, .cancel_s = 56.5}, 1.5},
            RefusalTimes{
                "long_lease_late", {.report_s = 5, .lease_s = 26.5, .cancel_s = 56.5}, 20}),
        testing::Values(1, 2, 3)),
    [](const auto& info) {
      return std::string(std::get<0>(info.param).name) + "_" +
             std::to_string(std::get<1>(info.param));
    });

// The state service refuses the leader alone. Its watch shows nothing, and a handover takes
// seconds. Guards: PeerGossip::announce_cancellation tells the peers; LiveJobs::end stops tasks
// directly.
TEST(Cancellation, ReachesALeaderThatLosesTheStateService) {
  Scenario scenario(45, 3, 5);
  const auto id = scenario.users.submit(array_job(8, 400));
  scenario.run_until(40);
  const int leader = scenario.leader();
  ASSERT_GE(leader, 0);
  ASSERT_EQ(scenario.checker.tasks_present(id), 8U);
  scenario.network.set_unavailable(scenario.node_name(leader), "state", true);
  scenario.cancel_through_next_node(leader, id);
  scenario.run_until(41);
  EXPECT_TRUE(scenario.checker.cancellation_confirmed(id));
  EXPECT_EQ(scenario.checker.tasks_present(id), 0U);
}

// A machine reaches no controller, but commands reach it. Waiting for its heartbeat or for the end
// of its lease would leave its tasks in place.
TEST(Cancellation, ReachesAMachineWhoseHeartbeatsAreLost) {
  Scenario scenario(46);
  const auto id = scenario.users.submit(array_job(4, 400));
  scenario.run_until(40);
  ASSERT_EQ(scenario.checker.tasks_present(id), 4U);
  for (const auto& worker : scenario.cloud.running_workers())
    scenario.set_heartbeat_drop(worker->id, true);
  scenario.users.cancel(id);
  scenario.run_until(41.5);
  EXPECT_TRUE(scenario.checker.cancellation_confirmed(id));
  EXPECT_EQ(scenario.checker.tasks_present(id), 0U);
}

// The machine hangs for less than a lease. The command waits there and is carried out as the
// machine goes on, before its next heartbeat.
TEST(Cancellation, WaitsForAHungMachine) {
  Scenario scenario(47);
  const auto id = scenario.users.submit(array_job(4, 400));
  scenario.run_until(40);
  ASSERT_EQ(scenario.checker.tasks_present(id), 4U);
  const auto machines = scenario.cloud.running_workers();
  for (const auto& worker : machines) worker->hang(7);
  scenario.users.cancel(id);
  scenario.run_until(47.1);
  EXPECT_EQ(scenario.checker.tasks_present(id), 0U);
  scenario.run_until(120);
  EXPECT_TRUE(scenario.checker.violations.empty()) << scenario.checker.report();
}

// The leader loses the state service and its peers, but not its workers. Others confirm
// cancellations of which it cannot know, while it still has tasks to start. Guard:
// HeartbeatEndpoint::may_miss_cancellations.
TEST(Cancellation, IsNotUndoneByAnIsolatedLeader) {
  Scenario scenario(48, 1, 5);
  std::vector<std::string> ids;
  ids.reserve(10);
  // Far more than there is room for, so that tasks start all the time.
  for (int i = 0; i < 10; ++i) ids.push_back(scenario.users.submit(array_job(60, 4)));
  scenario.run_until(40);
  const int old = scenario.leader();
  ASSERT_GE(old, 0);
  scenario.set_control_plane_drop(old, true);
  scenario.run_until(43.5);
  std::size_t left = 0;
  for (const auto& id : ids) {
    if (scenario.checker.is_final(id)) continue;
    ++left;
    scenario.cancel_through_next_node(old, id);
  }
  ASSERT_GT(left, 2U) << "nothing left to start";
  scenario.run_until(75);
  EXPECT_EQ(scenario.checker.starts_after_cancel, 0U);
  scenario.network.clear_drops();
  scenario.run_until(150);
  EXPECT_TRUE(scenario.checker.violations.empty()) << scenario.checker.report();
}

// A job is cancelled while nobody leads. The next leader cannot know whose its tasks are, and their
// stops are delayed. Until the tasks are gone, they count against the limit of the team.
// Guard: SnapshotBuilder::add_machines, unknown tasks.
TEST(TeamLimit, CountsTasksOfJobsCancelledBeforeTheTerm) {
  Scenario scenario(50);
  scenario.users.submit(array_job(8, 400, "red"));  // 32 of 40 processors
  scenario.run_until(20);
  const auto id = scenario.users.submit(array_job(2, 400, "red"));
  scenario.run_until(50);
  ASSERT_EQ(scenario.checker.tasks_present(id), 2U);
  const int old = scenario.leader();
  ASSERT_GE(old, 0);
  scenario.crash(old, 5);
  scenario.cancel_through_next_node(old, id);
  const auto later = scenario.users.submit(array_job(4, 30, "red"));
  // Stops are lost for a while, both direct ones and those in answers to heartbeats.
  drop_direct_commands(scenario.network);
  scenario.network.alter_response = [&](const std::string&, const HttpRequest& request,
                                        HttpResponse& response) {
    if (scenario.simulator.elapsed() > 85) return;
    remove_commands(request, response,
                    [](const Json& command) { return command["verb"] == "kill"; });
  };
  scenario.run_until(80);
  EXPECT_EQ(scenario.checker.tasks_present(id), 2U) << "gone already: the test shows nothing";
  EXPECT_TRUE(scenario.checker.violations.empty()) << scenario.checker.report();
  scenario.network.drop_request = nullptr;
  scenario.run_until(140);
  EXPECT_GT(scenario.checker.tasks_present(later) + (scenario.checker.is_final(later) ? 1U : 0U),
            0U);
  EXPECT_TRUE(scenario.checker.violations.empty()) << scenario.checker.report();
}

}  // namespace
