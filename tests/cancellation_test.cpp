// Cancellations during other faults: once a cancellation is confirmed to a user, the job's tasks
// end in time and none of them starts. A test whose comment names a guard fails without it.

#include <gtest/gtest.h>

#include "sim/scenario.hpp"
#include "sim/traffic.hpp"

namespace {

using namespace sim;

struct RefusalTimes {
  const char* name;
  Timing timing;
  double refusal_s;  // how long only the leader is refused, before the outage
};
void PrintTo(const RefusalTimes& t, std::ostream* out) { *out << t.name; }

class RefusalThenOutage : public testing::TestWithParam<std::tuple<RefusalTimes, int>> {};

// The state service refuses only the leader, and another node confirms cancellations. Then the
// state service is down for all nodes for longer than cancel_s, while the workers keep sending
// heartbeats to the old leader.
TEST_P(RefusalThenOutage, EndsCancelledTasksInTime) {
  const auto& [times, seed] = GetParam();
  Scenario scenario(static_cast<std::uint64_t>(seed), 3, 5, times.timing);
  std::vector<std::string> ids;
  ids.reserve(6);
  for (int i = 0; i < 6; ++i) ids.push_back(scenario.users.submit(array_job(6, 600)));
  scenario.run_until(60);
  const int leader = scenario.leader();
  ASSERT_GE(leader, 0);
  scenario.network.set_unavailable(scenario.node_name(leader), "state", true);
  for (const auto& id : ids) scenario.cancel_through_next_node(leader, id);
  scenario.run_until(60 + times.refusal_s);
  std::size_t confirmed = 0;
  for (const auto& id : ids) confirmed += scenario.checker.cancellation_confirmed(id) ? 1 : 0;
  EXPECT_EQ(confirmed, ids.size());
  scenario.store.set_outage(true);
  scenario.run_until(60 + times.refusal_s + times.timing.cancel_s + 30);
  scenario.store.set_outage(false);
  scenario.network.set_unavailable(scenario.node_name(leader), "state", false);
  scenario.run_until(60 + times.refusal_s + times.timing.cancel_s + 60);
  EXPECT_TRUE(scenario.checker.violations.empty()) << scenario.checker.report();
  EXPECT_EQ(scenario.checker.starts_after_cancel, 0U);
}

INSTANTIATE_TEST_SUITE_P(
    Settings, RefusalThenOutage,
    testing::Combine(
        testing::Values(
            RefusalTimes{"short_lease_short_refusal", {}, 0.5},
            RefusalTimes{"short_lease_long_refusal", {}, 12},
            RefusalTimes{
                "medium_lease_late_deadline", {.report_s = 3, .lease_s = 20, .cancel_s = 40}, 2},
            RefusalTimes{
                "medium_lease_early_deadline", {.report_s = 3, .lease_s = 20, .cancel_s = 26}, 2},
            RefusalTimes{"long_lease_short_refusal",
                         {.report_s = 5, .lease_s = 26.5, .cancel_s = 56.5},
                         1.5},
            RefusalTimes{
                "long_lease_long_refusal", {.report_s = 5, .lease_s = 26.5, .cancel_s = 56.5}, 20}),
        testing::Values(1, 2, 3)),
    [](const auto& info) {
      return std::string(std::get<0>(info.param).name) + "_" +
             std::to_string(std::get<1>(info.param));
    });

// The state service refuses only the leader. The leader's watch does not report the cancellation,
// and a handover takes seconds. Guards: PeerGossip::announce_cancellation sends the cancellation to
// the peers; LiveJobs::end stops the tasks by direct commands.
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

// A machine reaches no node, but direct commands reach the machine. If the leader waited for the
// machine's heartbeat or the expiry of its lease, the tasks would stay on it.
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

// The machine hangs for less than its lease duration. The direct command waits there and is
// executed when the machine resumes, before its next heartbeat.
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

// The leader loses the state service and its peers, but not its workers. Other nodes confirm
// cancellations that it cannot see, while it still has tasks to start. Guard:
// HeartbeatEndpoint::may_miss_cancellations.
TEST(Cancellation, IsNotUndoneByAnIsolatedLeader) {
  Scenario scenario(48, 1, 5);
  std::vector<std::string> ids;
  ids.reserve(10);
  // Far more tasks than the machines have room for, so that tasks start all the time.
  for (int i = 0; i < 10; ++i) ids.push_back(scenario.users.submit(array_job(60, 4)));
  scenario.run_until(40);
  const int old_leader = scenario.leader();
  ASSERT_GE(old_leader, 0);
  scenario.set_control_plane_drop(old_leader, true);
  scenario.run_until(43.5);
  std::size_t unfinished = 0;
  for (const auto& id : ids) {
    if (scenario.checker.is_final(id)) continue;
    ++unfinished;
    scenario.cancel_through_next_node(old_leader, id);
  }
  ASSERT_GT(unfinished, 2U) << "no unfinished jobs with tasks to start";
  scenario.run_until(75);
  EXPECT_EQ(scenario.checker.starts_after_cancel, 0U);
  scenario.network.clear_drops();
  scenario.run_until(150);
  EXPECT_TRUE(scenario.checker.violations.empty()) << scenario.checker.report();
}

// A job is cancelled while no node leads. The next leader cannot know which team its tasks belong
// to, and the commands that stop them are lost for a while. Until the tasks have ended, they count
// against the team's limit. Guard: SnapshotBuilder::add_machines, unattributed usage.
TEST(TeamLimit, CountsTasksOfJobsCancelledBeforeTheTerm) {
  Scenario scenario(50);
  scenario.users.submit(array_job(8, 400, "red"));  // 32 of 40 processors
  scenario.run_until(20);
  const auto id = scenario.users.submit(array_job(2, 400, "red"));
  scenario.run_until(50);
  ASSERT_EQ(scenario.checker.tasks_present(id), 2U);
  const int old_leader = scenario.leader();
  ASSERT_GE(old_leader, 0);
  scenario.crash(old_leader, 5);
  scenario.cancel_through_next_node(old_leader, id);
  const auto later = scenario.users.submit(array_job(4, 30, "red"));
  // Commands that stop tasks are lost for a while, both direct ones and those in heartbeat
  // responses.
  drop_direct_commands(scenario.network);
  scenario.network.alter_response = [&](const std::string&, const HttpRequest& request,
                                        HttpResponse& response) {
    if (scenario.simulator.elapsed() > 85) return;
    remove_commands(request, response,
                    [](const Json& command) { return command["verb"] == "kill"; });
  };
  scenario.run_until(80);
  EXPECT_EQ(scenario.checker.tasks_present(id), 2U)
      << "the tasks have already ended, so the test checks nothing";
  EXPECT_TRUE(scenario.checker.violations.empty()) << scenario.checker.report();
  scenario.network.drop_request = nullptr;
  scenario.run_until(140);
  EXPECT_GT(scenario.checker.tasks_present(later) + (scenario.checker.is_final(later) ? 1U : 0U),
            0U);
  EXPECT_TRUE(scenario.checker.violations.empty()) << scenario.checker.report();
}

}  // namespace
