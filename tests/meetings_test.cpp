// Two troubles at a time, as the operators have met them. Each test fails when the guard that it
// names is taken out; seeded days of the same meetings are in random_runs_test.cpp.

#include <gtest/gtest.h>

#include "sim/scenario.hpp"

namespace {

using namespace sim;

bool asks_for(const HttpRequest& r, std::string_view prefix) {
  return r.target.find("prefix=" + std::string(prefix)) != std::string::npos;
}

// Between two hosts, both ways.
void part(Scenario& s, const std::string& one, const std::string& other, bool on) {
  s.world.deafen(one, other, on);
  s.world.deafen(other, one, on);
}

// Heartbeats, answers, both ways or one: between the machine and every node.
void part(Scenario& s, const std::string& machine, bool to_nodes, bool from_nodes, bool on) {
  for (int i = 0; i < s.count(); ++i) {
    if (to_nodes) s.world.deafen(machine, s.name(i), on);
    if (from_nodes) s.world.deafen(s.name(i), machine, on);
  }
}

void silence_siblings(Scenario& s) {
  for (int i = 0; i < s.count(); ++i) {
    for (int k = 0; k < s.count(); ++k) {
      if (i != k) s.world.deafen(s.name(i), s.name(k), true);
    }
  }
}

// Cancels through any node but the leader, as users end up doing who get no answer there.
void cancel_elsewhere(Scenario& s, const std::string& id, int leader) {
  s.checker.asks_cancel(id);
  s.world.http("users", s.address((leader + 1) % s.count()),
               {"POST", "/v2/runs/" + id + "/abort", ""}, 5s, [&s, id](const HttpResponse& r) {
                 const auto in = Json::parse(r.body, nullptr, false);
                 s.checker.answered(id, r.status, in.is_object() ? in.value("stage", "") : "",
                                    false, s.world.t());
               });
}

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
  Scenario s(static_cast<std::uint64_t>(seed), 3, 5, terms.timing);
  std::vector<std::string> ids;
  ids.reserve(6);
  for (int i = 0; i < 6; ++i) ids.push_back(s.submit(array(6, 600)));
  s.world.run_until(60);
  const int leader = s.leader();
  ASSERT_GE(leader, 0);
  s.world.refuse(s.name(leader), "state", true);
  for (const auto& id : ids) cancel_elsewhere(s, id, leader);
  s.world.run_until(60 + terms.alone_s);
  std::size_t told = 0;
  for (const auto& id : ids) told += s.checker.told_cancelled(id) ? 1 : 0;
  EXPECT_EQ(told, ids.size());
  s.state.outage(true);
  s.world.run_until(60 + terms.alone_s + terms.timing.cancel_s + 30);
  s.state.outage(false);
  s.world.refuse(s.name(leader), "state", false);
  s.world.run_until(60 + terms.alone_s + terms.timing.cancel_s + 60);
  EXPECT_TRUE(s.checker.broken.empty()) << s.checker.text();
  EXPECT_EQ(s.checker.starts_after_cancel, 0U);
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
  Scenario s(41, 3, 3, {.report_s = 3, .lease_s = 20, .cancel_s = 40});
  const auto id = s.submit(array(4, 400));
  s.world.run_until(40);
  const int old = s.leader();
  ASSERT_GE(old, 0);
  silence_siblings(s);
  s.crash(old, 300);
  cancel_elsewhere(s, id, old);
  s.world.tamper = [](const std::string&, const HttpRequest& request, HttpResponse& r) {
    if (asks_for(request, "live/")) r = {503, "{}"};
  };
  s.world.run_until(150);
  EXPECT_GE(s.leader(), 0) << "nobody leads: the test shows nothing";
  EXPECT_TRUE(s.checker.told_cancelled(id));
  EXPECT_TRUE(s.checker.broken.empty()) << s.checker.text();
}

// The same with a view that has grown old: touches are answered, watches are not.
TEST(ViewOfTheLiveJobs, AnOldOneRenewsNoLease) {
  Scenario s(42);
  const auto id = s.submit(array(4, 400));
  s.world.run_until(40);
  const int leader = s.leader();
  ASSERT_GE(leader, 0);
  silence_siblings(s);
  s.world.drop = [](const std::string&, const std::string&, const HttpRequest& request) {
    return asks_for(request, "live/");
  };
  s.world.run_until(50);  // the watch that was open is over
  cancel_elsewhere(s, id, leader);
  s.world.run_until(150);
  EXPECT_EQ(s.leader(), leader);
  EXPECT_TRUE(s.checker.told_cancelled(id));
  EXPECT_TRUE(s.checker.broken.empty()) << s.checker.text();
}

// A watch's answer that was held up on its way shows the past: counted from its arrival, the view
// would pass for fresh.
TEST(ViewOfTheLiveJobs, IsAsOldAsTheQuestion) {
  Scenario s(43, 3, 3, {.report_s = 3, .lease_s = 20, .cancel_s = 30});  // 7 s are left for it
  s.submit(array(4, 400));
  s.world.run_until(40);
  // Three seconds on the way, after up to a third of the seven: never fresh for long.
  std::size_t answered = 0, refused = 0;
  s.world.tamper = [&](const std::string&, const HttpRequest& request, HttpResponse& r) {
    if (request.target == "/v1/report") ++(r.status == 200 ? answered : refused);
  };
  s.world.slow = [](const HttpRequest& r) { return asks_for(r, "live/") ? 2.9 : 0.0; };
  s.world.run_until(100);
  EXPECT_GT(refused, 0U);
  EXPECT_TRUE(s.checker.broken.empty()) << s.checker.text();
}

// Leaders that follow one another before the workers heartbeat twice to any of them: each first
// answer renews the leases once. Guard: Term::stops_for_ended.
TEST(Leaders, FirstAnswersStopTasksOfEndedJobs) {
  Scenario s(44, 3, 3, {.report_s = 3, .lease_s = 20, .cancel_s = 40});
  const auto id = s.submit(array(2, 400));
  s.world.run_until(40);
  const int old = s.leader();
  ASSERT_GE(old, 0);
  std::size_t first = 0, stopped = 0;
  s.crash(old, 30);
  s.world.drop = [](const std::string&, const std::string&, const HttpRequest& request) {
    return request.target == "/orders";
  };
  cancel_elsewhere(s, id, old);
  std::set<std::string> seen;
  s.world.tamper = [&](const std::string&, const HttpRequest& request, HttpResponse& r) {
    if (request.target != "/v1/report" || r.status != 200) return;
    const auto in = Json::parse(request.body), out = Json::parse(r.body);
    bool holds = false;
    for (const auto& p : in["pieces"]) holds = holds || p["stage"] != "exited";
    if (!holds || !seen.insert(in["host"]).second) return;
    ++first;
    for (const auto& c : out["orders"]) stopped += c["verb"] == "kill" ? 1 : 0;
  };
  s.world.run_until(120);
  EXPECT_GT(first, 0U);
  EXPECT_GE(stopped, 2U) << "both tasks, in the first answers";
  EXPECT_TRUE(s.checker.broken.empty()) << s.checker.text();
}

// The leader alone is refused: its watch tells nothing, handing over takes seconds.
// Guards: Node::cancelled tells the peers; Term::job_ended stops directly.
TEST(Cancellations, ReachALeaderThatIsRefusedAlone) {
  Scenario s(45, 3, 5);
  const auto id = s.submit(array(8, 400));
  s.world.run_until(40);
  const int leader = s.leader();
  ASSERT_GE(leader, 0);
  ASSERT_EQ(s.checker.on(id), 8U);
  s.world.refuse(s.name(leader), "state", true);
  cancel_elsewhere(s, id, leader);
  s.world.run_until(41);
  EXPECT_TRUE(s.checker.told_cancelled(id));
  EXPECT_EQ(s.checker.on(id), 0U);
}

// A machine reaches no controller, but commands reach it: waiting for its report, or its lease,
// leaves its tasks where they are.
TEST(Cancellations, ReachAMachineThatReachesNobody) {
  Scenario s(46);
  const auto id = s.submit(array(4, 400));
  s.world.run_until(40);
  ASSERT_EQ(s.checker.on(id), 4U);
  for (const auto& m : s.cloud.running()) part(s, m->id, true, false, true);
  s.cancel(id);
  s.world.run_until(41.5);
  EXPECT_TRUE(s.checker.told_cancelled(id));
  EXPECT_EQ(s.checker.on(id), 0U);
}

// Hangs for less than a lease: the command waits there and is carried out as it goes on, before the
// task has run for as long as a heartbeat takes.
TEST(Cancellations, WaitForAMachineThatHangs) {
  Scenario s(47);
  const auto id = s.submit(array(4, 400));
  s.world.run_until(40);
  ASSERT_EQ(s.checker.on(id), 4U);
  const auto machines = s.cloud.running();
  for (const auto& m : machines) m->hang(7);
  s.cancel(id);
  s.world.run_until(47.1);
  EXPECT_EQ(s.checker.on(id), 0U);
  s.world.run_until(120);
  EXPECT_TRUE(s.checker.broken.empty()) << s.checker.text();
}

// Cut from the state service and the peers, but not from its workers: others confirm
// cancellations that the old leader cannot hear of, while it still has work to start.
// Guard: Node::may_miss_cancellations.
TEST(Cancellations, NothingOfThemIsStartedByALeaderThatIsCutOff) {
  Scenario s(48, 1, 5);
  std::vector<std::string> ids;
  ids.reserve(10);
  // Far more than there is room for: something is started all the time.
  for (int i = 0; i < 10; ++i) ids.push_back(s.submit(array(60, 4)));
  s.world.run_until(40);
  const int old = s.leader();
  ASSERT_GE(old, 0);
  s.leave_alone(old, true);
  s.world.run_until(43.5);
  std::size_t left = 0;
  for (const auto& id : ids) {
    if (s.checker.over(id)) continue;
    ++left;
    cancel_elsewhere(s, id, old);
  }
  ASSERT_GT(left, 2U) << "nothing left to start";
  s.world.run_until(75);
  EXPECT_EQ(s.checker.starts_after_cancel, 0U);
  s.world.hear_again();
  s.world.run_until(150);
  EXPECT_TRUE(s.checker.broken.empty()) << s.checker.text();
}

// In an outage for all nobody confirms anything: what has begun goes on being started.
TEST(Outage, WorkGoesOnBeingStarted) {
  Scenario s(49, 1, 5);
  for (int i = 0; i < 10; ++i) s.submit(array(60, 4));
  s.world.run_until(40);
  s.state.outage(true);
  s.world.run_until(45);
  const auto before = s.checker.starts;
  s.world.run_until(52);
  EXPECT_GT(s.checker.starts, before + 20);
}

// A job is cancelled while nobody leads; the next leader cannot know whose its tasks are, and their
// stops are held up. Until they are gone they count against the limit of the team.
// Guard: Term::snapshot, unknown tasks.
TEST(TeamLimit, HoldsWhileTasksOfAJobCancelledBeforeTheTermRemain) {
  Scenario s(50);
  s.submit(array(8, 400, "red"));  // 32 of 40 processors
  s.world.run_until(20);
  const auto id = s.submit(array(2, 400, "red"));
  s.world.run_until(50);
  ASSERT_EQ(s.checker.on(id), 2U);
  const int old = s.leader();
  ASSERT_GE(old, 0);
  s.crash(old, 5);
  cancel_elsewhere(s, id, old);
  const auto later = s.submit(array(4, 30, "red"));
  // Held up for a while, whichever way they go.
  s.world.drop = [](const std::string&, const std::string&, const HttpRequest& request) {
    return request.target == "/orders";
  };
  s.world.tamper = [&](const std::string&, const HttpRequest& request, HttpResponse& r) {
    if (s.world.t() > 85) return;
    take_out(request, r, [](const Json& c) { return c["verb"] == "kill"; });
  };
  s.world.run_until(80);
  EXPECT_EQ(s.checker.on(id), 2U) << "gone already: the test shows nothing";
  EXPECT_TRUE(s.checker.broken.empty()) << s.checker.text();
  s.world.drop = nullptr;
  s.world.run_until(140);
  EXPECT_GT(s.checker.on(later) + (s.checker.over(later) ? 1U : 0U), 0U);
  EXPECT_TRUE(s.checker.broken.empty()) << s.checker.text();
}

// A machine has answered the new leader, under the old token; its next heartbeat is held back until
// its lease has run out and its work has begun elsewhere. Guard: first_valid_epoch in
// expire_leases.
TEST(LateReports, OfASessionThatRanOutBeforeTheLeaderHadReadAnyBringBackNothing) {
  Scenario s(51);
  const auto id = s.submit(array(1, 120));
  s.world.run_until(40);
  ASSERT_EQ(s.checker.on(id), 1U);
  const int old = s.leader();
  ASSERT_GE(old, 0);
  std::string host, address, body;
  std::uint64_t token = 0;
  s.world.tamper = [&](const std::string& to, const HttpRequest& request, HttpResponse& r) {
    if (request.target != "/v1/report" || !body.empty()) return;
    const auto in = Json::parse(request.body);
    if (in["pieces"].empty() || r.status != 200) return;
    const auto out = Json::parse(r.body);
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
    s.world.cut(host);
  };
  s.crash(old, 0.2);
  s.world.run_until(62);
  ASSERT_FALSE(body.empty());
  s.world.tamper = nullptr;
  std::size_t orders = 0;
  s.world.http("copies", address, {"POST", "/v1/report", body}, 4s, [&](const HttpResponse& r) {
    const auto in = Json::parse(r.body, nullptr, false);
    if (in.is_object() && in.contains("orders")) orders += in["orders"].size();
  });
  s.world.run_until(64);
  EXPECT_EQ(orders, 0U) << "taken for news";
  s.world.run_until(400);
  EXPECT_EQ(s.checker.final_of(id), "done");
  EXPECT_TRUE(s.checker.broken.empty()) << s.checker.text();
}

// Machines have lost a lease and work in their second epoch when the leader ends; answers do not
// reach one of them. A late copy from its first epoch is what the next leader hears of it first:
// the second epoch is no news of the term, and holds what the earlier leader started. Guard:
// Term::report draws nothing from epochs whose begin it has not seen.
TEST(LateReports, OfAnEarlierSessionDoNotShowThatALaterOneIsEmpty) {
  for (const std::uint64_t seed : {67, 68, 69}) {
    Scenario s(seed, 3, 3, {.report_s = 3, .lease_s = 20, .cancel_s = 40});
    const auto id = s.submit(array(13, 300));  // three machines, and one with room
    s.world.run_until(40);
    ASSERT_EQ(s.checker.on(id), 13U);
    std::map<std::string, std::map<int, std::string>> last_heartbeat;  // by machine and epoch
    s.world.drop = [&](const std::string& from, const std::string&, const HttpRequest& request) {
      if (request.target == "/v1/report") {
        last_heartbeat[from][Json::parse(request.body)["tenure"]] = request.body;
      }
      return false;
    };
    s.world.run_until(45);
    for (const auto& m : s.cloud.running()) s.world.cut(m->id);
    s.world.run_until(70);
    for (const auto& m : s.cloud.running()) s.world.heal(m->id);
    s.world.run_until(100);
    ASSERT_EQ(s.checker.on(id), 13U);
    std::string unreachable;
    for (const auto& m : s.cloud.running()) {
      if (m->epoch() == 2 && m->free().cpus < 1) unreachable = m->id;
    }
    ASSERT_FALSE(unreachable.empty());
    part(s, unreachable, false, true, true);
    const int old = s.leader();
    ASSERT_GE(old, 0);
    const auto reports = last_heartbeat[unreachable];
    s.crash(old, 30);
    while (s.leader() < 0) s.world.run_until(s.world.t() + 0.1);
    s.world.run_until(s.world.t() + 1);
    for (const int epoch : {1, 2}) {
      s.world.http("copies", s.address(s.leader()), {"POST", "/v1/report", reports.at(epoch)}, 4s,
                   [](const HttpResponse&) {});
      s.world.run_until(s.world.t() + 0.1);
    }
    s.world.run_until(s.world.t() + 30);
    EXPECT_TRUE(s.checker.broken.empty()) << "seed " << seed << "\n" << s.checker.text();
    s.world.hear_again();
    s.world.run_until(700);
    EXPECT_EQ(s.checker.final_of(id), "done");
    EXPECT_TRUE(s.checker.broken.empty()) << "seed " << seed << "\n" << s.checker.text();
  }
}

// Jobs of a few tasks whose ends lie far apart, with a new leader between any two.
TEST(Leaders, FewTasksEndingFarApartEndTheirJobOnce) {
  for (const std::uint64_t seed : {52, 53, 54}) {
    Scenario s(seed, 3, 5);
    std::vector<std::string> ids;
    for (std::uint32_t n : {2U, 3U, 2U, 3U}) {
      auto a = array(n, 30);
      a.spec.cpus = 16;  // one a machine
      ids.push_back(s.submit(a));
      s.world.run_until(s.world.t() + 9);
    }
    for (double t = 40; t < 160; t += 13) {
      s.world.at(to_duration(Seconds(t - s.world.t())), [&s] {
        if (s.leader() >= 0) s.crash(s.leader(), 0.2);
      });
    }
    s.world.at(160s, [&s] { s.checker.troubles_over(); });
    s.world.run_until(500);
    for (const auto& id : ids) EXPECT_EQ(s.checker.final_of(id), "done") << id << " seed " << seed;
    EXPECT_TRUE(s.checker.broken.empty()) << "seed " << seed << "\n" << s.checker.text();
  }
}

// The leader stands still for longer than a lease; its grant lasts longer still. A majority of its
// peers does not hear it: one of them takes over while the workers still have time to find it.
// Guard: Node::check_leader_liveness.
TEST(SilentLeader, IsReplacedBeforeTheLeasesRunOut) {
  for (const std::uint64_t seed : {71, 72, 73}) {
    Scenario s(seed, 3, 5);
    for (int i = 0; i < 6; ++i) s.submit(array(6, 200));
    s.world.run_until(40);
    const int old = s.leader();
    ASSERT_GE(old, 0);
    std::map<std::string, std::uint32_t> sessions;
    for (const auto& m : s.cloud.running()) {
      if (m->free().cpus < m->shape.cpus) sessions[m->id] = m->epoch();
    }
    s.freeze(old, 20);
    s.world.run_until(48);
    EXPECT_GE(s.leader(old), 0);
    s.world.run_until(100);
    for (const auto& m : s.cloud.running()) {
      const auto busy = sessions.find(m->id);
      if (busy == sessions.end()) continue;
      EXPECT_EQ(m->epoch(), busy->second) << m->id << ": its lease has run out, seed " << seed;
    }
    s.world.run_until(500);
    EXPECT_TRUE(s.checker.broken.empty()) << "seed " << seed << "\n" << s.checker.text();
  }
}

// The leader reaches everything but its peers: they replace it, and it must notice although its
// grant is touched with success. Guard: Lease::renew reads the key first.
TEST(SilentLeader, ThatIsCutFromItsSiblingsOnlyStepsDown) {
  Scenario s(74, 3, 5);
  for (int i = 0; i < 6; ++i) s.submit(array(6, 200));
  s.world.run_until(40);
  const int old = s.leader();
  ASSERT_GE(old, 0);
  for (int i = 0; i < s.count(); ++i) {
    if (i == old) continue;
    part(s, s.name(old), s.name(i), true);
  }
  s.world.run_until(52);
  EXPECT_NE(s.leader(), old);
  EXPECT_GE(s.leader(), 0);
  EXPECT_FALSE(s.nodes[static_cast<std::size_t>(old)].node->leading());
  s.world.run_until(400);
  EXPECT_TRUE(s.checker.broken.empty()) << s.checker.text();
}

// One node alone does not hear the leader: it is the one that is cut off.
TEST(SilentLeader, IsKeptWhileAMajorityHearsIt) {
  Scenario s(75, 3, 5);
  s.submit(array(6, 200));
  s.world.run_until(20);
  const int leader = s.leader();
  ASSERT_GE(leader, 0);
  const int cut_off = (leader + 1) % s.count();
  for (int i = 0; i < s.count(); ++i) {
    part(s, s.name(cut_off), s.name(i), true);
  }
  s.world.run_until(100);
  EXPECT_EQ(s.leader(), leader);
}

// A leader that has lost peers and state service is replaced while it is still holding a valid
// lease, and a part of the workers stays with it: until its lease validity is over it may renew
// their leases, so their tasks must not start elsewhere. Guard: Lease::previous_holders_expiry.
TEST(SilentLeader, WorkersThatItStillAnswersAreWaitedFor) {
  for (const std::uint64_t seed : {76, 77, 78}) {
    Scenario s(seed, 3, 5);
    const auto id = s.submit(array(13, 300));
    s.world.run_until(40);
    ASSERT_EQ(s.checker.on(id), 13U);
    const int old = s.leader();
    ASSERT_GE(old, 0);
    s.leave_alone(old, true);
    // The workers reach nobody else; where the old leader stops answering, they are lost.
    for (const auto& m : s.cloud.running()) {
      for (int i = 0; i < s.count(); ++i) {
        if (i != old) part(s, m->id, s.name(i), true);
      }
    }
    s.world.run_until(50);
    EXPECT_GE(s.leader(old), 0) << "not replaced: the test shows nothing";
    s.world.run_until(100);
    EXPECT_TRUE(s.checker.broken.empty()) << "seed " << seed << "\n" << s.checker.text();
    s.world.hear_again();
    s.world.run_until(600);
    EXPECT_EQ(s.checker.final_of(id), "done");
    EXPECT_TRUE(s.checker.broken.empty()) << "seed " << seed << "\n" << s.checker.text();
  }
}

// The same, and the new leader resigns or ends within a second: its successor inherits the wait.
// Guard: the leader record says that its claim was forced.
TEST(SilentLeader, IsReckonedWithByTheNextSuccessorToo) {
  for (const std::uint64_t seed : {79, 80, 81}) {
    Scenario s(seed, 3, 5);
    const auto id = s.submit(array(13, 300));
    s.world.run_until(40);
    const int old = s.leader();
    ASSERT_GE(old, 0);
    s.leave_alone(old, true);
    for (const auto& m : s.cloud.running()) {
      for (int i = 0; i < s.count(); ++i) {
        if (i != old) part(s, m->id, s.name(i), true);
      }
    }
    while (s.leader(old) < 0 && s.world.t() < 60) s.world.run_until(s.world.t() + 0.1);
    ASSERT_GE(s.leader(old), 0);
    s.crash(s.leader(old), 0.1);
    s.world.run_until(110);
    EXPECT_TRUE(s.checker.broken.empty()) << "seed " << seed << "\n" << s.checker.text();
    s.world.hear_again();
    s.world.run_until(600);
    EXPECT_EQ(s.checker.final_of(id), "done");
    EXPECT_TRUE(s.checker.broken.empty()) << "seed " << seed << "\n" << s.checker.text();
  }
}

// Long after a forced term has begun its leader ends. Its successor need not wait for leaders
// before it: a machine that is not heard is waited for a lease, not a grant and a lease.
// Guard: Lease::record_previous_holders_expired.
TEST(SilentLeader, IsForgottenOnceItsEntitlementIsOver) {
  Scenario s(82, 3, 3);
  s.submit(array(8, 400));
  s.world.run_until(40);
  const int old = s.leader();
  ASSERT_GE(old, 0);
  s.freeze(old, 8);
  s.world.run_until(50);
  const int next = s.leader(old);
  ASSERT_GE(next, 0) << "not replaced: the test shows nothing";
  s.world.run_until(80);
  const auto machines = s.cloud.running();
  ASSERT_FALSE(machines.empty());
  s.world.cut(machines.front()->id);
  s.crash(next, 0.2);
  s.world.run_until(81);
  const auto id = s.submit(array(1, 5, "red"));
  // A lease, the machine's next heartbeat and its image; with a grant, 20 s more.
  s.world.run_until(81 + 10 + 8);
  EXPECT_TRUE(s.checker.began(id));
  s.world.heal(machines.front()->id);
  s.world.run_until(200);
  EXPECT_EQ(s.checker.final_of(id), "done");
  EXPECT_TRUE(s.checker.broken.empty()) << s.checker.text();
}

// All machines are gone as a leader ends: each next one heard no worker for a few seconds and
// handed over, long before the leases of those on the machine registry had run out, and so for
// ever: nothing was started any more. Guard: Node::check_leadership asks whether the peer hears
// workers.
TEST(Leaders, DoNotHandOverForEverWhenAllMachinesAreGone) {
  Scenario s(61, 3, 5);
  for (int i = 0; i < 6; ++i) s.submit(array(8, 300));
  s.world.run_until(40);
  ASSERT_GE(s.cloud.running().size(), 4U);
  for (const auto& m : s.cloud.running()) s.cloud.take(m->id);
  ASSERT_GE(s.leader(), 0);
  s.crash(s.leader(), 1);
  const auto id = s.submit(array(1, 5));
  s.world.run_until(120);
  EXPECT_EQ(s.checker.final_of(id), "done");
  EXPECT_TRUE(s.checker.broken.empty()) << s.checker.text();
}

// A machine that never hears the new leader keeps reporting: for as long as that lasted, the term
// did not settle, and teams with a limit and all earlier jobs waited. Not answered any more,
// its lease runs out here too. Guard: Term::never_sees_token.
TEST(Leaders, SettleBesideAMachineThatNeverHearsThem) {
  Scenario s(62, 3, 3, {.report_s = 3, .lease_s = 20, .cancel_s = 40});
  s.submit(array(8, 400));
  s.world.run_until(40);
  const auto machines = s.cloud.running();
  ASSERT_FALSE(machines.empty());
  part(s, machines.front()->id, false, true, true);
  s.crash(s.leader(), 0.2);
  s.world.run_until(42);
  const auto id = s.submit(array(1, 5, "red"));
  // A lease, a round of the three nodes until the next heartbeat comes here, a boot, the job
  // itself.
  s.world.run_until(42 + 20 + 15 + 13 + 8 + 5);
  EXPECT_EQ(s.checker.final_of(id), "done");
  EXPECT_TRUE(s.checker.broken.empty()) << s.checker.text();
}

// Tasks of an array with a mistake fail by the dozen within a second: the machine is not at fault,
// and what else runs there stays. Guard: Term::on_error counts failures by pauses.
TEST(Mistakes, OfAJobAreNotHeldAgainstMachines) {
  Scenario s(63, 1);
  auto good = array(24, 300);
  good.spec.cpus = 1;
  good.spec.checkpoint_s = 5;
  good.spec.save_s = 1;
  const auto id = s.submit(good);
  s.world.run_until(60);
  ASSERT_EQ(s.checker.on(id), 24U);
  const auto before = s.checker.starts;
  auto bad = array(20, 30);
  bad.spec.cpus = 1;
  bad.spec.mistake = true;
  bad.spec.image = "bad";
  const auto wrong = s.submit(bad);
  s.world.run_until(180);
  EXPECT_GT(s.checker.starts, before + 10) << "the job with a mistake was never tried";
  EXPECT_EQ(s.checker.starts_of(id), 24U) << "its tasks were stopped and started again";
  s.cancel(wrong);
  s.world.run_until(200);
  EXPECT_EQ(s.checker.final_of(wrong), "withdrawn");
  s.world.run_until(500);
  EXPECT_EQ(s.checker.final_of(id), "done");
  EXPECT_TRUE(s.checker.broken.empty()) << s.checker.text();
}

// Users ask about their jobs many times as often: each question is answered within the 2 s for
// which users wait, and the state service is asked far less often than they ask. Guard:
// Store::read_live_together.
TEST(Questions, ManyTimesAsOftenAreAnswered) {
  Scenario s(64);
  std::vector<std::string> ids;
  for (int i = 0; i < 300; ++i) {
    s.world.at(to_duration(Seconds(i * 0.1)), [&] { ids.push_back(s.submit(array(1, 400))); });
  }
  s.world.run_until(60);
  std::size_t asked = 0, answered = 0, at_state = 0;
  s.world.drop = [&](const std::string&, const std::string&, const HttpRequest& request) {
    at_state += request.target.rfind("/keys", 0) == 0 ? 1 : 0;
    return false;
  };
  for (double t = 0; t < 20; t += 0.001) {
    s.world.at(to_duration(Seconds(t)), [&] {
      const auto& id = ids[static_cast<std::size_t>(s.world.uniform(0, 299.9))];
      ++asked;
      s.ask_node(id, {"GET", "/v2/runs/" + id, ""}, 2s, false,
                 [&](int status) { answered += status == 200 ? 1 : 0; });
    });
  }
  s.world.run_until(85);
  EXPECT_GT(answered, asked * 95 / 100) << "of " << asked;
  EXPECT_LT(at_state, asked / 4);
  EXPECT_TRUE(s.checker.broken.empty()) << s.checker.text();
}

// The leader's first write of the machine registry gets no answer and is carried out after a newer
// one, which names more machines. Undone, the next leader would not wait for a machine that cannot
// be asked. Guard: Term::write_own, the versions of the leader's own keys.
TEST(LateTransactions, DoNotUndoANewerRoster) {
  Scenario s(65, 3, 3, {.report_s = 3, .lease_s = 20, .cancel_s = 40});
  std::string held;
  s.world.drop = [&](const std::string&, const std::string&, const HttpRequest& request) {
    const bool roster =
        request.target == "/txn" && request.body.find("roster/") != std::string::npos;
    if (!roster || !held.empty()) return false;
    held = request.body;
    return true;
  };
  auto ask = array(3, 300);
  ask.spec.cpus = 16;  // one a machine
  const auto id = s.submit(ask);
  s.world.run_until(60);
  ASSERT_FALSE(held.empty());
  ASSERT_EQ(s.checker.on(id), 3U);
  const int old = s.leader();
  ASSERT_GE(old, 0);
  int status = -1;
  s.world.http(s.name(old), "10.2.0.1:2379", {"POST", "/txn", held}, 4s,
               [&](const HttpResponse& r) { status = r.status; });
  s.world.run_until(61);
  EXPECT_EQ(status, 409);
  std::size_t cut = 0;
  for (const auto& m : s.cloud.running()) {
    if (cut > 0 || held.find(m->id) != std::string::npos) continue;
    s.world.cut(m->id);
    ++cut;
  }
  ASSERT_EQ(cut, 1U) << "the held roster names them all: the test shows nothing";
  s.crash(old, 1);
  s.world.run_until(100);
  EXPECT_TRUE(s.checker.broken.empty()) << s.checker.text();
}

// A job's last task has ended, and the leader's note of it gets no answer; its user calls the job
// off through another node and is told so; then the note is carried out after all. Guard:
// store::make_end_job_txn, conditional on the live record.
TEST(LateTransactions, DoNotEndAJobTwice) {
  Scenario s(66);
  const auto id = s.submit(array(1, 20));
  s.world.run_until(20);
  const int leader = s.leader();
  ASSERT_GE(leader, 0);
  std::string held;
  s.world.drop = [&](const std::string& from, const std::string&, const HttpRequest& request) {
    if (from != s.name(leader) || request.target != "/txn" ||
        request.body.find("final/") == std::string::npos) {
      return false;
    }
    held = request.body;
    return true;
  };
  for (double t = 20; t < 80 && held.empty(); t += 0.1) s.world.run_until(t);
  ASSERT_FALSE(held.empty());
  cancel_elsewhere(s, id, leader);
  s.world.run_until(s.world.t() + 1);
  ASSERT_TRUE(s.checker.told_cancelled(id));
  s.world.drop = nullptr;
  int status = -1;
  s.world.http(s.name(leader), "10.2.0.1:2379", {"POST", "/txn", held}, 4s,
               [&](const HttpResponse& r) { status = r.status; });
  s.world.run_until(s.world.t() + 30);
  EXPECT_EQ(status, 409);
  EXPECT_EQ(s.checker.final_of(id), "withdrawn");
  EXPECT_TRUE(s.checker.broken.empty()) << s.checker.text();
}

// Jobs bound to one zone, arrays too, that lose machines there, with a new leader in between.
TEST(OneZone, HoldsForArraysThatLoseMachines) {
  for (const std::uint64_t seed : {55, 56, 57}) {
    Scenario s(seed, 3, 3);
    for (int i = 0; i < 4; ++i) {
      auto a = array(6, 40);
      a.truth.one_zone = true;
      a.truth.spot = i % 2 == 0;
      a.spec.gang = i == 3;
      s.submit(a);
    }
    for (double t = 30; t < 120; t += 15) {
      s.world.at(to_duration(Seconds(t)), [&s] {
        const auto machines = s.cloud.running();
        if (!machines.empty()) s.cloud.take(machines.front()->id);
        if (machines.size() > 2) s.world.cut(machines[1]->id);
        if (s.leader() >= 0) s.crash(s.leader(), 1);
      });
    }
    s.world.run_until(140);
    for (const auto& m : s.cloud.running()) s.world.heal(m->id);
    s.world.run_until(600);
    for (unsigned i = 1; i <= s.next_job; ++i) {
      char id[16];
      std::snprintf(id, sizeof id, "req-%06u", i);
      EXPECT_EQ(s.checker.final_of(id), "done") << id << " seed " << seed;
    }
    EXPECT_TRUE(s.checker.broken.empty()) << "seed " << seed << "\n" << s.checker.text();
  }
}

// ---- The checker can fail ----

TEST(Checker, CatchesAnUnsoundJobAccepted) {
  Scenario s(58);
  s.world.run_until(10);
  s.submit_unsound(array(1, 5), [](Json&) {});  // not spoilt at all: it is accepted
  s.world.run_until(20);
  EXPECT_TRUE(s.checker.found("unsound")) << s.checker.text();
}

TEST(Checker, CatchesAJobLeftWaitingBesideRoom) {
  Scenario s(59);
  s.submit(array(2, 400));
  s.world.run_until(30);
  s.checker.troubles_over();
  std::string starved;
  s.world.tamper = [&](const std::string&, const HttpRequest& request, HttpResponse& r) {
    take_out(request, r, [&](const Json& c) {
      return c["verb"] == "run" && c["piece"].get<std::string>().rfind(starved, 0) == 0;
    });
  };
  starved = s.submit(array(1, 5));
  s.world.run_until(180);
  EXPECT_TRUE(s.checker.found("waits")) << s.checker.text();
}

TEST(Checker, CountsStartsAfterACancellation) {
  Scenario s(60);
  const auto id = s.submit(array(1, 400));
  s.world.run_until(30);
  s.cancel(id);
  s.world.run_until(35);
  ASSERT_TRUE(s.checker.told_cancelled(id));
  const auto m = s.cloud.running().front();
  s.world.http("copies", m->address,
               {"POST", "/orders",
                Json{{"baton", std::uint64_t{1} << 40U},
                     {"tenure", m->epoch()},
                     {"orders", {{{"verb", "run"}, {"piece", id + "/0"}, {"try", 99}}}}}
                    .dump()},
               4s, [](const HttpResponse&) {});
  s.world.run_until(37);
  EXPECT_EQ(s.checker.starts_after_cancel, 1U);
}

}  // namespace
