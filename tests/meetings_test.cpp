// Two troubles at a time, as the operators have met them. Each test fails when the guard that it
// names is taken out; seeded days of the same meetings are in random_runs_test.cpp.

#include <gtest/gtest.h>

#include "sim/scenario.hpp"
#include "sim/traffic.hpp"

namespace {

using namespace sim;

struct Terms {
  const char* name;
  Timing timing;
  double alone_s;  // the refusal before the outage
};
void PrintTo(const Terms& t, std::ostream* out) { *out << t.name; }

class Gap : public testing::TestWithParam<std::tuple<Terms, int>> {};

// The state service refuses the leader alone, another controller confirms cancellations, then it is
// down for all for longer than cancel_s while the workers keep reporting to the old leader.
TEST_P(Gap, CancelledTasksAreGoneInTime) {
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
    Settings, Gap,
    testing::Combine(
        testing::Values(
            Terms{"short_lease", {}, 0.5}, Terms{"short_lease_long", {}, 12},
            Terms{"tight", {.report_s = 3, .lease_s = 20, .cancel_s = 40}, 2},
            Terms{"tightest", {.report_s = 3, .lease_s = 20, .cancel_s = 26}, 2},
            Terms{"long_lease", {.report_s = 5, .lease_s = 26.5, .cancel_s = 56.5}, 1.5},
            Terms{"long_lease_late", {.report_s = 5, .lease_s = 26.5, .cancel_s = 56.5}, 20}),
        testing::Values(1, 2, 3)),
    [](const auto& info) {
      return std::string(std::get<0>(info.param).name) + "_" +
             std::to_string(std::get<1>(info.param));
    });

// A leader is holding a valid lease as long as its grant is touched. One that has claimed the key
// but cannot read the live jobs would renew the leases of cancelled tasks for ever. Guard:
// Node::report asks Term::current().
TEST(ViewOfTheLiveJobs, WithoutOneNoLeaseIsRenewed) {
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

// The same with a view that has grown old: touches are answered, watches are not.
TEST(ViewOfTheLiveJobs, AnOldOneRenewsNoLease) {
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

// A watch's answer that was held up on its way shows the past: counted from its arrival, the view
// would pass for fresh.
TEST(ViewOfTheLiveJobs, IsAsOldAsTheQuestion) {
  Scenario scenario(43, 3, 3,
                    {.report_s = 3, .lease_s = 20, .cancel_s = 30});  // 7 s are left for it
  scenario.users.submit(array_job(4, 400));
  scenario.run_until(40);
  // Three seconds on the way, after up to a third of the seven: never fresh for long.
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

// Leaders that follow one another before the workers heartbeat twice to any of them: each first
// answer renews the leases once. Guard: Term::stops_for_ended.
TEST(Leaders, FirstAnswersStopTasksOfEndedJobs) {
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
    if (request.target != "/v1/report" || response.status != 200) return;
    const auto in = Json::parse(request.body), out = Json::parse(response.body);
    bool holds = false;
    for (const auto& p : in["pieces"]) holds = holds || p["stage"] != "exited";
    if (!holds || !seen.insert(in["host"]).second) return;
    ++first;
    for (const auto& c : out["orders"]) stopped += c["verb"] == "kill" ? 1 : 0;
  };
  scenario.run_until(120);
  EXPECT_GT(first, 0U);
  EXPECT_GE(stopped, 2U) << "both tasks, in the first answers";
  EXPECT_TRUE(scenario.checker.violations.empty()) << scenario.checker.report();
}

// The leader alone is refused: its watch tells nothing, handing over takes seconds.
// Guards: Node::cancelled tells the peers; Term::job_ended stops directly.
TEST(Cancellations, ReachALeaderThatIsRefusedAlone) {
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

// A machine reaches no controller, but commands reach it: waiting for its report, or its lease,
// leaves its tasks where they are.
TEST(Cancellations, ReachAMachineThatReachesNobody) {
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

// Hangs for less than a lease: the command waits there and is carried out as it goes on, before the
// task has run for as long as a heartbeat takes.
TEST(Cancellations, WaitForAMachineThatHangs) {
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

// Cut from the state service and the peers, but not from its workers: others confirm
// cancellations that the old leader cannot hear of, while it still has work to start.
// Guard: Node::may_miss_cancellations.
TEST(Cancellations, NothingOfThemIsStartedByALeaderThatIsCutOff) {
  Scenario scenario(48, 1, 5);
  std::vector<std::string> ids;
  ids.reserve(10);
  // Far more than there is room for: something is started all the time.
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

// In an outage for all nobody confirms anything: what has begun goes on being started.
TEST(Outage, WorkGoesOnBeingStarted) {
  Scenario scenario(49, 1, 5);
  for (int i = 0; i < 10; ++i) scenario.users.submit(array_job(60, 4));
  scenario.run_until(40);
  scenario.store.set_outage(true);
  scenario.run_until(45);
  const auto before = scenario.checker.starts;
  scenario.run_until(52);
  EXPECT_GT(scenario.checker.starts, before + 20);
}

// A job is cancelled while nobody leads; the next leader cannot know whose its tasks are, and their
// stops are held up. Until they are gone they count against the limit of the team.
// Guard: Term::snapshot, unknown tasks.
TEST(TeamLimit, HoldsWhileTasksOfAJobCancelledBeforeTheTermRemain) {
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
  // Held up for a while, whichever way they go.
  drop_direct_commands(scenario.network);
  scenario.network.alter_response = [&](const std::string&, const HttpRequest& request,
                                        HttpResponse& response) {
    if (scenario.simulator.elapsed() > 85) return;
    remove_commands(request, response, [](const Json& c) { return c["verb"] == "kill"; });
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

// A machine has answered the new leader, under the old token; its next heartbeat is held back until
// its lease has run out and its work has begun elsewhere. Guard: first_valid_epoch in
// expire_leases.
TEST(LateReports, OfASessionThatRanOutBeforeTheLeaderHadReadAnyBringBackNothing) {
  Scenario scenario(51);
  const auto id = scenario.users.submit(array_job(1, 120));
  scenario.run_until(40);
  ASSERT_EQ(scenario.checker.tasks_present(id), 1U);
  const int old = scenario.leader();
  ASSERT_GE(old, 0);
  std::string host, address, body;
  std::uint64_t token = 0;
  scenario.network.alter_response = [&](const std::string& to, const HttpRequest& request,
                                        HttpResponse& response) {
    if (request.target != "/v1/report" || !body.empty()) return;
    const auto in = Json::parse(request.body);
    if (in["pieces"].empty() || response.status != 200) return;
    const auto out = Json::parse(response.body);
    if (token == 0) token = in["baton"];
    if (out["baton"] == token) return;
    // First answer under the new token: the machine falls silent now, and what it would have
    // reported next comes much later.
    host = in["host"];
    address = to;
    auto next = in;
    next["baton"] = out["baton"];
    next["tick"] = in["tick"].get<std::uint64_t>() + 1;
    body = next.dump();
    scenario.network.isolate(host);
  };
  scenario.crash(old, 0.2);
  scenario.run_until(62);
  ASSERT_FALSE(body.empty());
  scenario.network.alter_response = nullptr;
  std::size_t orders = 0;
  scenario.network.http("copies", address, {"POST", "/v1/report", body}, 4s,
                        [&](const HttpResponse& response) {
                          const auto in = Json::parse(response.body, nullptr, false);
                          if (in.is_object() && in.contains("orders"))
                            orders += in["orders"].size();
                        });
  scenario.run_until(64);
  EXPECT_EQ(orders, 0U) << "taken for news";
  scenario.run_until(400);
  EXPECT_EQ(scenario.checker.final_stage(id), "done");
  EXPECT_TRUE(scenario.checker.violations.empty()) << scenario.checker.report();
}

// Machines have lost a lease and work in their second epoch when the leader ends; answers do not
// reach one of them. A late copy from its first epoch is what the next leader hears of it first:
// the second epoch is no news of the term, and holds what the earlier leader started. Guard:
// Term::report draws nothing from epochs whose begin it has not seen.
TEST(LateReports, OfAnEarlierSessionDoNotShowThatALaterOneIsEmpty) {
  for (const std::uint64_t seed : {67, 68, 69}) {
    Scenario scenario(seed, 3, 3, {.report_s = 3, .lease_s = 20, .cancel_s = 40});
    const auto id = scenario.users.submit(array_job(13, 300));  // three machines, and one with room
    scenario.run_until(40);
    ASSERT_EQ(scenario.checker.tasks_present(id), 13U);
    std::map<std::string, std::map<int, std::string>> last_heartbeat;  // by machine and epoch
    scenario.network.drop_request = [&](const std::string& from, const std::string&,
                                        const HttpRequest& request) {
      if (request.target == "/v1/report") {
        last_heartbeat[from][Json::parse(request.body)["tenure"]] = request.body;
      }
      return false;
    };
    scenario.run_until(45);
    for (const auto& worker : scenario.cloud.running_workers())
      scenario.network.isolate(worker->id);
    scenario.run_until(70);
    for (const auto& worker : scenario.cloud.running_workers())
      scenario.network.reconnect(worker->id);
    scenario.run_until(100);
    ASSERT_EQ(scenario.checker.tasks_present(id), 13U);
    std::string unreachable;
    for (const auto& worker : scenario.cloud.running_workers()) {
      if (worker->epoch() == 2 && worker->free().cpus < 1) unreachable = worker->id;
    }
    ASSERT_FALSE(unreachable.empty());
    scenario.set_command_drop(unreachable, true);
    const int old = scenario.leader();
    ASSERT_GE(old, 0);
    const auto reports = last_heartbeat[unreachable];
    scenario.crash(old, 30);
    while (scenario.leader() < 0) scenario.run_until(scenario.simulator.elapsed() + 0.1);
    scenario.run_until(scenario.simulator.elapsed() + 1);
    for (const int epoch : {1, 2}) {
      scenario.network.http("copies", scenario.node_address(scenario.leader()),
                            {"POST", "/v1/report", reports.at(epoch)}, 4s,
                            [](const HttpResponse&) {});
      scenario.run_until(scenario.simulator.elapsed() + 0.1);
    }
    scenario.run_until(scenario.simulator.elapsed() + 30);
    EXPECT_TRUE(scenario.checker.violations.empty()) << "seed " << seed << "\n"
                                                     << scenario.checker.report();
    scenario.network.clear_drops();
    scenario.run_until(700);
    EXPECT_EQ(scenario.checker.final_stage(id), "done");
    EXPECT_TRUE(scenario.checker.violations.empty()) << "seed " << seed << "\n"
                                                     << scenario.checker.report();
  }
}

// Jobs of a few tasks whose ends lie far apart, with a new leader between any two.
TEST(Leaders, FewTasksEndingFarApartEndTheirJobOnce) {
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

// The leader stands still for longer than a lease; its grant lasts longer still. A majority of its
// peers does not hear it: one of them takes over while the workers still have time to find it.
// Guard: Node::check_leader_liveness.
TEST(SilentLeader, IsReplacedBeforeTheLeasesRunOut) {
  for (const std::uint64_t seed : {71, 72, 73}) {
    Scenario scenario(seed, 3, 5);
    for (int i = 0; i < 6; ++i) scenario.users.submit(array_job(6, 200));
    scenario.run_until(40);
    const int old = scenario.leader();
    ASSERT_GE(old, 0);
    std::map<std::string, std::uint32_t> sessions;
    for (const auto& worker : scenario.cloud.running_workers()) {
      if (worker->free().cpus < worker->shape.cpus) sessions[worker->id] = worker->epoch();
    }
    scenario.freeze(old, 20);
    scenario.run_until(48);
    EXPECT_GE(scenario.leader(old), 0);
    scenario.run_until(100);
    for (const auto& worker : scenario.cloud.running_workers()) {
      const auto busy = sessions.find(worker->id);
      if (busy == sessions.end()) continue;
      EXPECT_EQ(worker->epoch(), busy->second)
          << worker->id << ": its lease has run out, seed " << seed;
    }
    scenario.run_until(500);
    EXPECT_TRUE(scenario.checker.violations.empty()) << "seed " << seed << "\n"
                                                     << scenario.checker.report();
  }
}

// The leader reaches everything but its peers: they replace it, and it must notice although its
// grant is touched with success. Guard: Lease::renew reads the key first.
TEST(SilentLeader, ThatIsCutFromItsSiblingsOnlyStepsDown) {
  Scenario scenario(74, 3, 5);
  for (int i = 0; i < 6; ++i) scenario.users.submit(array_job(6, 200));
  scenario.run_until(40);
  const int old = scenario.leader();
  ASSERT_GE(old, 0);
  for (int i = 0; i < scenario.node_count(); ++i) {
    if (i == old) continue;
    scenario.network.set_two_way_drop(scenario.node_name(old), scenario.node_name(i), true);
  }
  scenario.run_until(52);
  EXPECT_NE(scenario.leader(), old);
  EXPECT_GE(scenario.leader(), 0);
  EXPECT_FALSE(scenario.process(old).node->leading());
  scenario.run_until(400);
  EXPECT_TRUE(scenario.checker.violations.empty()) << scenario.checker.report();
}

// One node alone does not hear the leader: it is the one that is cut off.
TEST(SilentLeader, IsKeptWhileAMajorityHearsIt) {
  Scenario scenario(75, 3, 5);
  scenario.users.submit(array_job(6, 200));
  scenario.run_until(20);
  const int leader = scenario.leader();
  ASSERT_GE(leader, 0);
  const int cut_off = (leader + 1) % scenario.node_count();
  for (int i = 0; i < scenario.node_count(); ++i) {
    scenario.network.set_two_way_drop(scenario.node_name(cut_off), scenario.node_name(i), true);
  }
  scenario.run_until(100);
  EXPECT_EQ(scenario.leader(), leader);
}

// A leader that has lost peers and state service is replaced while it is still holding a valid
// lease, and a part of the workers stays with it: until its lease validity is over it may renew
// their leases, so their tasks must not start elsewhere. Guard: Lease::previous_holders_expiry.
TEST(SilentLeader, WorkersThatItStillAnswersAreWaitedFor) {
  for (const std::uint64_t seed : {76, 77, 78}) {
    Scenario scenario(seed, 3, 5);
    const auto id = scenario.users.submit(array_job(13, 300));
    scenario.run_until(40);
    ASSERT_EQ(scenario.checker.tasks_present(id), 13U);
    const int old = scenario.leader();
    ASSERT_GE(old, 0);
    scenario.set_control_plane_drop(old, true);
    // The workers reach nobody else; where the old leader stops answering, they are lost.
    for (const auto& worker : scenario.cloud.running_workers()) {
      for (int i = 0; i < scenario.node_count(); ++i) {
        if (i != old) scenario.network.set_two_way_drop(worker->id, scenario.node_name(i), true);
      }
    }
    scenario.run_until(50);
    EXPECT_GE(scenario.leader(old), 0) << "not replaced: the test shows nothing";
    scenario.run_until(100);
    EXPECT_TRUE(scenario.checker.violations.empty()) << "seed " << seed << "\n"
                                                     << scenario.checker.report();
    scenario.network.clear_drops();
    scenario.run_until(600);
    EXPECT_EQ(scenario.checker.final_stage(id), "done");
    EXPECT_TRUE(scenario.checker.violations.empty()) << "seed " << seed << "\n"
                                                     << scenario.checker.report();
  }
}

// The same, and the new leader resigns or ends within a second: its successor inherits the wait.
// Guard: the leader record says that its claim was forced.
TEST(SilentLeader, IsReckonedWithByTheNextSuccessorToo) {
  for (const std::uint64_t seed : {79, 80, 81}) {
    Scenario scenario(seed, 3, 5);
    const auto id = scenario.users.submit(array_job(13, 300));
    scenario.run_until(40);
    const int old = scenario.leader();
    ASSERT_GE(old, 0);
    scenario.set_control_plane_drop(old, true);
    for (const auto& worker : scenario.cloud.running_workers()) {
      for (int i = 0; i < scenario.node_count(); ++i) {
        if (i != old) scenario.network.set_two_way_drop(worker->id, scenario.node_name(i), true);
      }
    }
    while (scenario.leader(old) < 0 && scenario.simulator.elapsed() < 60)
      scenario.run_until(scenario.simulator.elapsed() + 0.1);
    ASSERT_GE(scenario.leader(old), 0);
    scenario.crash(scenario.leader(old), 0.1);
    scenario.run_until(110);
    EXPECT_TRUE(scenario.checker.violations.empty()) << "seed " << seed << "\n"
                                                     << scenario.checker.report();
    scenario.network.clear_drops();
    scenario.run_until(600);
    EXPECT_EQ(scenario.checker.final_stage(id), "done");
    EXPECT_TRUE(scenario.checker.violations.empty()) << "seed " << seed << "\n"
                                                     << scenario.checker.report();
  }
}

// Long after a forced term has begun its leader ends. Its successor need not wait for leaders
// before it: a machine that is not heard is waited for a lease, not a grant and a lease.
// Guard: Lease::record_previous_holders_expired.
TEST(SilentLeader, IsForgottenOnceItsEntitlementIsOver) {
  Scenario scenario(82, 3, 3);
  scenario.users.submit(array_job(8, 400));
  scenario.run_until(40);
  const int old = scenario.leader();
  ASSERT_GE(old, 0);
  scenario.freeze(old, 8);
  scenario.run_until(50);
  const int next = scenario.leader(old);
  ASSERT_GE(next, 0) << "not replaced: the test shows nothing";
  scenario.run_until(80);
  const auto machines = scenario.cloud.running_workers();
  ASSERT_FALSE(machines.empty());
  scenario.network.isolate(machines.front()->id);
  scenario.crash(next, 0.2);
  scenario.run_until(81);
  const auto id = scenario.users.submit(array_job(1, 5, "red"));
  // A lease, the machine's next heartbeat and its image; with a grant, 20 s more.
  scenario.run_until(81 + 10 + 8);
  EXPECT_TRUE(scenario.checker.has_begun(id));
  scenario.network.reconnect(machines.front()->id);
  scenario.run_until(200);
  EXPECT_EQ(scenario.checker.final_stage(id), "done");
  EXPECT_TRUE(scenario.checker.violations.empty()) << scenario.checker.report();
}

// All machines are gone as a leader ends: each next one heard no worker for a few seconds and
// handed over, long before the leases of those on the machine registry had run out, and so for
// ever: nothing was started any more. Guard: Node::check_leadership asks whether the peer hears
// workers.
TEST(Leaders, DoNotHandOverForEverWhenAllMachinesAreGone) {
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

// A machine that never hears the new leader keeps reporting: for as long as that lasted, the term
// did not settle, and teams with a limit and all earlier jobs waited. Not answered any more,
// its lease runs out here too. Guard: Term::never_sees_token.
TEST(Leaders, SettleBesideAMachineThatNeverHearsThem) {
  Scenario scenario(62, 3, 3, {.report_s = 3, .lease_s = 20, .cancel_s = 40});
  scenario.users.submit(array_job(8, 400));
  scenario.run_until(40);
  const auto machines = scenario.cloud.running_workers();
  ASSERT_FALSE(machines.empty());
  scenario.set_command_drop(machines.front()->id, true);
  scenario.crash(scenario.leader(), 0.2);
  scenario.run_until(42);
  const auto id = scenario.users.submit(array_job(1, 5, "red"));
  // A lease, a round of the three nodes until the next heartbeat comes here, a boot, the job
  // itself.
  scenario.run_until(42 + 20 + 15 + 13 + 8 + 5);
  EXPECT_EQ(scenario.checker.final_stage(id), "done");
  EXPECT_TRUE(scenario.checker.violations.empty()) << scenario.checker.report();
}

// Tasks of an array with a mistake fail by the dozen within a second: the machine is not at fault,
// and what else runs there stays. Guard: Term::on_error counts failures by pauses.
TEST(Mistakes, OfAJobAreNotHeldAgainstMachines) {
  Scenario scenario(63, 1);
  auto good = array_job(24, 300);
  good.workload.cpus = 1;
  good.workload.checkpoint_s = 5;
  good.workload.save_s = 1;
  const auto id = scenario.users.submit(good);
  scenario.run_until(60);
  ASSERT_EQ(scenario.checker.tasks_present(id), 24U);
  const auto before = scenario.checker.starts;
  auto bad = array_job(20, 30);
  bad.workload.cpus = 1;
  bad.workload.fails = true;
  bad.workload.image = "bad";
  const auto wrong = scenario.users.submit(bad);
  scenario.run_until(180);
  EXPECT_GT(scenario.checker.starts, before + 10) << "the job with a mistake was never tried";
  EXPECT_EQ(scenario.checker.starts_of(id), 24U) << "its tasks were stopped and started again";
  scenario.users.cancel(wrong);
  scenario.run_until(200);
  EXPECT_EQ(scenario.checker.final_stage(wrong), "withdrawn");
  scenario.run_until(500);
  EXPECT_EQ(scenario.checker.final_stage(id), "done");
  EXPECT_TRUE(scenario.checker.violations.empty()) << scenario.checker.report();
}

// Users ask about their jobs many times as often: each question is answered within the 2 s for
// which users wait, and the state service is asked far less often than they ask. Guard:
// Store::read_live_together.
TEST(Questions, ManyTimesAsOftenAreAnswered) {
  Scenario scenario(64);
  std::vector<std::string> ids;
  for (int i = 0; i < 300; ++i) {
    scenario.simulator.schedule(Seconds(i * 0.1),
                                [&] { ids.push_back(scenario.users.submit(array_job(1, 400))); });
  }
  scenario.run_until(60);
  std::size_t asked = 0, answered = 0, at_state = 0;
  scenario.network.drop_request = [&](const std::string&, const std::string&,
                                      const HttpRequest& request) {
    at_state += request.target.rfind("/keys", 0) == 0 ? 1 : 0;
    return false;
  };
  for (double t = 0; t < 20; t += 0.001) {
    scenario.simulator.schedule(Seconds(t), [&] {
      const auto& id = ids[static_cast<std::size_t>(scenario.simulator.uniform(0, 299.9))];
      ++asked;
      scenario.users.query(id, [&](int status) { answered += status == 200 ? 1 : 0; });
    });
  }
  scenario.run_until(85);
  EXPECT_GT(answered, asked * 95 / 100) << "of " << asked;
  EXPECT_LT(at_state, asked / 4);
  EXPECT_TRUE(scenario.checker.violations.empty()) << scenario.checker.report();
}

// The leader's first write of the machine registry gets no answer and is carried out after a newer
// one, which names more machines. Undone, the next leader would not wait for a machine that cannot
// be asked. Guard: Term::write_own, the versions of the leader's own keys.
TEST(LateTransactions, DoNotUndoANewerRoster) {
  Scenario scenario(65, 3, 3, {.report_s = 3, .lease_s = 20, .cancel_s = 40});
  std::string held;
  scenario.network.drop_request = [&](const std::string&, const std::string&,
                                      const HttpRequest& request) {
    const bool roster =
        request.target == "/txn" && request.body.find("roster/") != std::string::npos;
    if (!roster || !held.empty()) return false;
    held = request.body;
    return true;
  };
  auto job = array_job(3, 300);
  job.workload.cpus = 16;  // one a machine
  const auto id = scenario.users.submit(job);
  scenario.run_until(60);
  ASSERT_FALSE(held.empty());
  ASSERT_EQ(scenario.checker.tasks_present(id), 3U);
  const int old = scenario.leader();
  ASSERT_GE(old, 0);
  int status = -1;
  scenario.network.http(scenario.node_name(old), "10.2.0.1:2379", {"POST", "/txn", held}, 4s,
                        [&](const HttpResponse& response) { status = response.status; });
  scenario.run_until(61);
  EXPECT_EQ(status, 409);
  std::size_t cut = 0;
  for (const auto& worker : scenario.cloud.running_workers()) {
    if (cut > 0 || held.find(worker->id) != std::string::npos) continue;
    scenario.network.isolate(worker->id);
    ++cut;
  }
  ASSERT_EQ(cut, 1U) << "the held roster names them all: the test shows nothing";
  scenario.crash(old, 1);
  scenario.run_until(100);
  EXPECT_TRUE(scenario.checker.violations.empty()) << scenario.checker.report();
}

// A job's last task has ended, and the leader's note of it gets no answer; its user calls the job
// off through another node and is told so; then the note is carried out after all. Guard:
// store::make_end_job_txn, conditional on the live record.
TEST(LateTransactions, DoNotEndAJobTwice) {
  Scenario scenario(66);
  const auto id = scenario.users.submit(array_job(1, 20));
  scenario.run_until(20);
  const int leader = scenario.leader();
  ASSERT_GE(leader, 0);
  std::string held;
  scenario.network.drop_request = [&](const std::string& from, const std::string&,
                                      const HttpRequest& request) {
    if (from != scenario.node_name(leader) || request.target != "/txn" ||
        request.body.find("final/") == std::string::npos) {
      return false;
    }
    held = request.body;
    return true;
  };
  for (double t = 20; t < 80 && held.empty(); t += 0.1) scenario.run_until(t);
  ASSERT_FALSE(held.empty());
  scenario.cancel_through_next_node(leader, id);
  scenario.run_until(scenario.simulator.elapsed() + 1);
  ASSERT_TRUE(scenario.checker.cancellation_confirmed(id));
  scenario.network.drop_request = nullptr;
  int status = -1;
  scenario.network.http(scenario.node_name(leader), "10.2.0.1:2379", {"POST", "/txn", held}, 4s,
                        [&](const HttpResponse& response) { status = response.status; });
  scenario.run_until(scenario.simulator.elapsed() + 30);
  EXPECT_EQ(status, 409);
  EXPECT_EQ(scenario.checker.final_stage(id), "withdrawn");
  EXPECT_TRUE(scenario.checker.violations.empty()) << scenario.checker.report();
}

// Jobs bound to one zone, arrays too, that lose machines there, with a new leader in between.
TEST(OneZone, HoldsForArraysThatLoseMachines) {
  for (const std::uint64_t seed : {55, 56, 57}) {
    Scenario scenario(seed, 3, 3);
    for (int i = 0; i < 4; ++i) {
      auto job = array_job(6, 40);
      job.requirements.one_zone = true;
      job.requirements.spot = i % 2 == 0;
      job.workload.gang = i == 3;
      scenario.users.submit(job);
    }
    for (double t = 30; t < 120; t += 15) {
      scenario.simulator.schedule(Seconds(t), [&scenario] {
        const auto machines = scenario.cloud.running_workers();
        if (!machines.empty()) scenario.cloud.reclaim(machines.front()->id);
        if (machines.size() > 2) scenario.network.isolate(machines[1]->id);
        if (scenario.leader() >= 0) scenario.crash(scenario.leader(), 1);
      });
    }
    scenario.run_until(140);
    for (const auto& worker : scenario.cloud.running_workers())
      scenario.network.reconnect(worker->id);
    scenario.run_until(600);
    for (const auto& id : scenario.users.job_ids()) {
      EXPECT_EQ(scenario.checker.final_stage(id), "done") << id << " seed " << seed;
    }
    EXPECT_TRUE(scenario.checker.violations.empty()) << "seed " << seed << "\n"
                                                     << scenario.checker.report();
  }
}

// ---- The checker can fail ----

TEST(Checker, CatchesAnUnsoundJobAccepted) {
  Scenario scenario(58);
  scenario.run_until(10);
  scenario.users.submit_invalid(array_job(1, 5),
                                [](Json&) {});  // not spoilt at all: it is accepted
  scenario.run_until(20);
  EXPECT_TRUE(scenario.checker.violated("unsound")) << scenario.checker.report();
}

TEST(Checker, CatchesAJobLeftWaitingBesideRoom) {
  Scenario scenario(59);
  scenario.users.submit(array_job(2, 400));
  scenario.run_until(30);
  scenario.checker.on_faults_over();
  std::string starved;
  scenario.network.alter_response = [&](const std::string&, const HttpRequest& request,
                                        HttpResponse& response) {
    remove_commands(request, response, [&](const Json& c) {
      return c["verb"] == "run" && c["piece"].get<std::string>().rfind(starved, 0) == 0;
    });
  };
  starved = scenario.users.submit(array_job(1, 5));
  scenario.run_until(180);
  EXPECT_TRUE(scenario.checker.violated("waits")) << scenario.checker.report();
}

TEST(Checker, CountsStartsAfterACancellation) {
  Scenario scenario(60);
  const auto id = scenario.users.submit(array_job(1, 400));
  scenario.run_until(30);
  scenario.users.cancel(id);
  scenario.run_until(35);
  ASSERT_TRUE(scenario.checker.cancellation_confirmed(id));
  const auto worker = scenario.cloud.running_workers().front();
  scenario.network.http("copies", worker->address,
                        {"POST", "/orders",
                         Json{{"baton", std::uint64_t{1} << 40U},
                              {"tenure", worker->epoch()},
                              {"orders", {{{"verb", "run"}, {"piece", id + "/0"}, {"try", 99}}}}}
                             .dump()},
                        4s, [](const HttpResponse&) {});
  scenario.run_until(37);
  EXPECT_EQ(scenario.checker.starts_after_cancel, 1U);
}

}  // namespace
