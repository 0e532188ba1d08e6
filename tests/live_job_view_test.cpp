// The leader's view of the live jobs. Without a fresh view the leader must not renew a worker's
// lease, because tasks of cancelled jobs would keep running.

#include <gtest/gtest.h>

#include "sim/scenario.hpp"
#include "sim/traffic.hpp"

namespace {

using namespace sim;

// A leader's lease is valid as long as it renews its store lease. A leader that has claimed the
// leader key but cannot read the live jobs would renew worker leases, and tasks of cancelled jobs
// would keep running, indefinitely. Guard: HeartbeatEndpoint::answer asks
// TermRecovery::view_is_fresh().
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
  EXPECT_GE(scenario.leader(), 0) << "no node leads, so the test checks nothing";
  EXPECT_TRUE(scenario.checker.cancellation_confirmed(id));
  EXPECT_TRUE(scenario.checker.violations.empty()) << scenario.checker.report();
}

// The view becomes stale: the leader can renew its store lease, but its watches get no response.
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
  scenario.run_until(50);  // the watch that was open has ended
  scenario.cancel_through_next_node(leader, id);
  scenario.run_until(150);
  EXPECT_EQ(scenario.leader(), leader);
  EXPECT_TRUE(scenario.checker.cancellation_confirmed(id));
  EXPECT_TRUE(scenario.checker.violations.empty()) << scenario.checker.report();
}

// A delayed response to a watch shows an old state. If the age of the view counted from the arrival
// of the response, a stale view would be taken for a fresh one.
TEST(LiveJobView, AgesFromTheRequest) {
  Scenario scenario(43, 3, 3,
                    {.report_s = 3, .lease_s = 20, .cancel_s = 30});  // bounds the staleness by 7 s
  scenario.users.submit(array_job(4, 400));
  scenario.run_until(40);
  // A watch waits for up to a third of the 7 s, and its response is delayed by 2.9 s, so that the
  // view is never fresh for long.
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
