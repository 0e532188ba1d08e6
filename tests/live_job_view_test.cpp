// The leader's view of the live jobs: without a fresh one, the leader renews no worker's lease, or
// tasks of cancelled jobs would run on.

#include <gtest/gtest.h>

#include "sim/scenario.hpp"
#include "sim/traffic.hpp"

namespace {

using namespace sim;

// A leader holds a valid lease as long as its grant is touched. One that has claimed the key but
// cannot read the live jobs would renew the leases of cancelled tasks for ever.
// Guard: HeartbeatEndpoint::answer asks TermRecovery::view_is_fresh().
TEST(LiveJobView, RenewsNoLeaseBeforeItIsRead) {
  Scenario scenario(41, 3, 3, {.report_s = 3, .lease_s = 20, .cancel_s = 40});
  const auto id = scenario.users.submit(array_job(4, 400));
  scenario.run_until(40);
  const int old = scenario.leader();
  ASSERT_GE(old, 0);
  scenario.set_gossip_drop(true);
  scenario.crash(old, 300);
  scenario.cancel_through_next_node(old, id);
  scenario.network.alter_response = [](const std::string&, const HttpRequest& request,
                                       HttpResponse& response) {
    if (reads_prefix(request, "live/")) response = {503, "{}"};
  };
  scenario.run_until(150);
  EXPECT_GE(scenario.leader(), 0) << "nobody leads: the test shows nothing";
  EXPECT_TRUE(scenario.checker.cancellation_confirmed(id));
  EXPECT_TRUE(scenario.checker.violations.empty()) << scenario.checker.report();
}

// The view is stale: touches of the grant are answered, watches are not.
TEST(LiveJobView, RenewsNoLeaseWhenStale) {
  Scenario scenario(42);
  const auto id = scenario.users.submit(array_job(4, 400));
  scenario.run_until(40);
  const int leader = scenario.leader();
  ASSERT_GE(leader, 0);
  scenario.set_gossip_drop(true);
  scenario.network.drop_request = [](const std::string&, const std::string&,
                                     const HttpRequest& request) {
    return reads_prefix(request, "live/");
  };
  scenario.run_until(50);  // the watch that was open is over
  scenario.cancel_through_next_node(leader, id);
  scenario.run_until(150);
  EXPECT_EQ(scenario.leader(), leader);
  EXPECT_TRUE(scenario.checker.cancellation_confirmed(id));
  EXPECT_TRUE(scenario.checker.violations.empty()) << scenario.checker.report();
}

// A delayed response to a watch shows the past. If its age counted from its arrival, the view would
// pass for fresh.
TEST(LiveJobView, AgesFromTheRequest) {
  Scenario scenario(43, 3, 3,
                    {.report_s = 3, .lease_s = 20, .cancel_s = 30});  // 7 s are left for it
  scenario.users.submit(array_job(4, 400));
  scenario.run_until(40);
  // Delayed by three seconds, after up to a third of the seven: never fresh for long.
  std::size_t answered = 0, refused = 0;
  scenario.network.alter_response = [&](const std::string&, const HttpRequest& request,
                                        HttpResponse& response) {
    if (request.target == "/v1/report") ++(response.status == 200 ? answered : refused);
  };
  scenario.network.delay_response = [](const HttpRequest& request) {
    return reads_prefix(request, "live/") ? 2.9 : 0.0;
  };
  scenario.run_until(100);
  EXPECT_GT(refused, 0U);
  EXPECT_TRUE(scenario.checker.violations.empty()) << scenario.checker.report();
}

}  // namespace
