// Troubles one at a time, each against the guard that answers it: every test here fails when its
// guard is taken out.

#include <gtest/gtest.h>

#include "cluster/machine_table.hpp"
#include "sim/scenario.hpp"

namespace {

using namespace sim;

// Heartbeats arrive, answers and commands do not: without a guard the leader would send it work
// again and again, for as long as the trouble lasts.
TEST(DeafMachine, GetsNoMoreWorkAndIsReturned) {
  Scenario s(21);
  for (int i = 0; i < 8; ++i) s.submit(array(4, 30));
  s.world.run_until(40);
  const auto machines = s.cloud.running();
  ASSERT_FALSE(machines.empty());
  const auto& deaf = machines.front();
  for (int i = 0; i < s.count(); ++i) s.world.deafen(s.name(i), deaf->id, true);
  std::map<std::string, int> ordered;
  s.world.tamper = [&](const std::string&, const HttpRequest& request, HttpResponse& r) {
    if (request.target != "/v1/report" || r.status != 200) return;
    if (Json::parse(request.body)["host"] != deaf->id) return;
    const auto answer = Json::parse(r.body);
    for (const auto& c : answer["orders"]) {
      if (c["verb"] == "run") ++ordered[c["piece"].get<std::string>()];
    }
  };
  for (int i = 0; i < 60; ++i) {
    s.world.at(to_duration(Seconds(i * 2)), [&s] { s.submit(array(6, 30)); });
  }
  s.world.run_until(200);
  EXPECT_TRUE(deaf->ended) << "still rented";
  EXPECT_LE(ordered.size(), 16U) << "so many starts were sent where none is heard";
  s.world.run_until(500);
  EXPECT_TRUE(s.checker.broken.empty()) << s.checker.text();
  for (unsigned i = 1; i <= s.next_job; ++i) {
    char id[16];
    std::snprintf(id, sizeof id, "req-%06u", i);
    EXPECT_EQ(s.checker.final_of(id), "done") << id;
  }
}

// Copies of a dead machine's reports must not keep it looking alive: its work would wait for as
// long as they come.
TEST(LateCopies, DoNotKeepADeadMachineAlive) {
  Scenario s(22);
  const auto id = s.submit(array(1, 60));
  std::string last, address, host;
  s.world.tamper = [&](const std::string& to, const HttpRequest& request, HttpResponse& r) {
    if (request.target != "/v1/report" || r.status != 200) return;
    if (request.body.find("\"running\"") == std::string::npos) return;
    last = request.body;
    address = to;
    host = Json::parse(request.body)["host"];
  };
  s.world.run_until(40);
  ASSERT_FALSE(last.empty());
  s.world.tamper = nullptr;
  s.cloud.take(host);
  for (int i = 0; i < 400; ++i) {
    s.world.at(to_duration(Seconds(0.5 * i)), [&] {
      s.world.http("copies", address, {"POST", "/v1/report", last}, 4s, [](const HttpResponse&) {});
    });
  }
  // A lease of 10 s, perhaps a boot of up to 12 s, and 60 s to run.
  s.world.run_until(40 + 10 + 15 + 60 + 20);
  EXPECT_EQ(s.checker.final_of(id), "done");
  EXPECT_TRUE(s.checker.broken.empty()) << s.checker.text();
}

// Nor may they bring back a machine that has been returned: work would be planned for it.
TEST(LateCopies, DoNotBringBackAReturnedMachine) {
  Scenario s(28);
  s.submit(array(1, 5));
  std::string report, address, host;
  s.world.tamper = [&](const std::string& to, const HttpRequest& request, HttpResponse& r) {
    if (request.target != "/v1/report" || r.status != 200) return;
    report = request.body;
    address = to;
    host = Json::parse(report)["host"];
  };
  s.world.run_until(120);
  ASSERT_FALSE(report.empty());
  ASSERT_TRUE(s.cloud.running().empty()) << "not returned";
  s.world.tamper = nullptr;
  const auto id = s.submit(array(2, 5));
  std::size_t orders = 0;
  for (int i = 0; i < 40; ++i) {
    // Each looks newer than the one before.
    auto copy = Json::parse(report);
    copy["tick"] = copy["tick"].get<int>() + i;
    s.world.at(to_duration(Seconds(0.25 * i)), [&, body = copy.dump()] {
      s.world.http("copies", address, {"POST", "/v1/report", body}, 4s, [&](const HttpResponse& r) {
        const auto in = Json::parse(r.body, nullptr, false);
        if (in.is_object() && in.contains("orders")) orders += in["orders"].size();
      });
    });
  }
  s.world.run_until(200);
  EXPECT_EQ(orders, 0U);
  EXPECT_EQ(s.checker.final_of(id), "done");
}

class MachineView : public testing::Test {
 protected:
  static Heartbeat report(std::uint64_t epoch, std::uint64_t sequence,
                          std::vector<TaskStatus> tasks = {}) {
    Heartbeat r;
    r.machine = "n-1";
    r.epoch = epoch;
    r.sequence = sequence;
    r.tasks = std::move(tasks);
    return r;
  }
  static TaskStatus task(std::uint64_t attempt) {
    return {{"req-1", 0}, attempt, TaskState::Running, ExitCause::None, false};
  }
  cluster::MachineTable machines;
  std::vector<cluster::TaskEvent> events;
};

// What a epoch says after its lease has run out here comes late, however new it looks.
TEST_F(MachineView, AReportOfALostSessionBringsBackNothing) {
  machines.apply(report(1, 5, {task(7)}), {}, 0, events);
  auto& m = machines.at("n-1");
  machines.clear(m, events);
  m.lease_expired = true;
  m.first_valid_epoch = m.epoch + 1;
  events.clear();
  EXPECT_EQ(machines.apply(report(1, 6, {task(7)}), {}, 0, events),
            cluster::MachineTable::Order::Late);
  EXPECT_TRUE(events.empty());
  EXPECT_TRUE(m.attempts.empty());
  EXPECT_TRUE(m.lease_expired);
  EXPECT_EQ(machines.apply(report(2, 7), {}, 0, events), cluster::MachineTable::Order::New);
  EXPECT_FALSE(m.lease_expired);
}

// An answer with a start may be under way while a direct command is answered: the task missing from
// that answer may still start, and must count as there.
TEST_F(MachineView, ADirectAnswerDoesNotSettleAnOrder) {
  machines.apply(report(1, 1), {}, 0, events);
  auto& m = machines.at("n-1");
  cluster::TaskAttempt o;
  o.task = {"req-1", 0};
  o.attempt = 9;
  o.phase = cluster::TaskAttempt::Phase::Dispatched;
  m.attempts.emplace(cluster::AttemptId{9, o.task}, o);
  events.clear();
  machines.apply(report(1, 2), {}, 0, events, cluster::MachineTable::Source::DirectAnswer);
  EXPECT_TRUE(events.empty());
  EXPECT_EQ(m.attempts.size(), 1U);
  machines.apply(report(1, 3), {}, 0, events);
  ASSERT_EQ(events.size(), 1U);
  EXPECT_EQ(events[0].kind, cluster::TaskEvent::Kind::NotStarted);
  EXPECT_TRUE(m.attempts.empty());
}

// A leader that hears neither state service nor peers, but its workers: the next one must not be
// held up, and a cancellation told by another node must be kept to.
TEST(AloneWithItsWorkers, TheLeaderGivesWayInTime) {
  Scenario s(23, 3, 5);
  const auto id = s.submit(array(4, 300));
  s.world.run_until(40);
  const int old = s.leader();
  ASSERT_GE(old, 0);
  s.leave_alone(old, true);
  s.world.at(2s, [&] { s.cancel(id); });
  int next = -1;
  for (double t = 40; t < 75 && next < 0; t += 0.5) {
    s.world.run_until(t);
    for (int i = 0; i < s.count(); ++i) {
      if (i != old && s.nodes[static_cast<std::size_t>(i)].node->leading()) next = i;
    }
  }
  EXPECT_GE(next, 0) << "nobody took over within 35 s";
  s.world.run_until(200);
  EXPECT_EQ(s.checker.final_of(id), "withdrawn");
  EXPECT_TRUE(s.checker.broken.empty()) << s.checker.text();
}

// A machine of a gang is not returned while the others come: gangs of several whole machines would
// never find them together.
TEST(WaitingGang, KeepsTheMachinesThatHaveCome) {
  Scenario s(24);
  auto a = array(12, 20);
  a.spec.gang = true;
  a.truth.one_zone = true;
  a.truth.zone = "south";
  // Of the three machines it needs, a request brings one; the next is asked for 15 s later.
  s.cloud.most_at_once = 1;
  s.world.run_until(5);
  const auto id = s.submit(a);
  s.world.run_until(180);
  EXPECT_EQ(s.checker.final_of(id), "done");
}

TEST(Checker, CatchesQuestionsLeftWithoutAnswer) {
  Scenario s(25);
  const auto id = s.submit(array(1, 400));
  s.world.run_until(30);
  s.checker.troubles_over();
  s.world.tamper = [&](const std::string&, const HttpRequest& request, HttpResponse& r) {
    if (request.method == "GET" && request.target == "/v2/runs/" + id) r.status = 503;
  };
  s.world.run_until(150);
  EXPECT_TRUE(s.checker.found("forgotten")) << s.checker.text();
}

TEST(Checker, CatchesAClassLeftUnserved) {
  Scenario s(26);
  // Nothing is ever started for gangs.
  s.world.tamper = [&](const std::string&, const HttpRequest& request, HttpResponse& r) {
    take_out(request, r, [&](const Json& c) {
      const auto piece = c["piece"].get<std::string>();
      return c["verb"] == "run" && s.jobs.specs.at(piece.substr(0, piece.find('/'))).gang;
    });
  };
  for (int i = 0; i < 6; ++i) {
    auto a = array(2, 10);
    a.spec.gang = i % 2 == 0;
    s.submit(a);
  }
  s.world.run_until(400);
  s.checker.look_at_service([](const std::string&) { return true; });
  EXPECT_TRUE(s.checker.found("served")) << s.checker.text();
}

// Hundreds of machines, five nodes, and the leader ending again and again.
TEST(GrownFleet, KeepsTheRulesAndServesEveryClass) {
  Scenario s(27, 20, 5);
  auto& w = s.world;
  for (double t = 1; t < 90; t += w.uniform(0.5, 1.5) * 0.6) {
    w.at(to_duration(Seconds(t)), [&s, &w] {
      auto a = s.random_ask();
      // The other team's limit holds little.
      if (w.chance(0.9)) a.truth.team = "blue";
      if (!a.spec.gang && a.truth.team == "blue") a.spec.tasks *= 5;
      s.submit(a);
    });
  }
  for (const int at : {40, 55, 56, 80}) {
    w.at(std::chrono::seconds(at), [&s, &w] {
      if (s.leader() >= 0) s.crash(s.leader(), w.uniform(0.05, 3));
    });
  }
  w.at(100s, [&s] { s.checker.troubles_over(); });
  w.run_until(420);
  // Work of the team without a limit could always begin: there is room for all of it.
  s.checker.look_at_service(
      [&s](const std::string& id) { return s.checker.team_of(id) == "blue"; });
  EXPECT_TRUE(s.checker.broken.empty()) << s.checker.text();
  EXPECT_GT(s.checker.starts, 2000U);
}

// The state service remembers so many changes only. Followers watch the leader's key, which seldom
// changes: watching from its version was turned away at once, again and again, by all of them.
TEST(Followers, KeepWatchingWhenTheLeaderKeyIsOld) {
  Scenario s(31);
  s.state.kept_changes = 20;
  for (int i = 0; i < 40; ++i) {
    s.world.at(to_duration(Seconds(i)), [&s] { s.submit(array(2, 5)); });
  }
  s.world.run_until(60);
  const auto before = s.state.watches_opened;
  s.world.run_until(120);
  // Two followers open one in 10 s each, the leader one in 5 s, and more when jobs end.
  EXPECT_LT(s.state.watches_opened - before, 100U);
  EXPECT_TRUE(s.checker.broken.empty()) << s.checker.text();
}

// A leader that alone loses the state service would keep its grant for many seconds in which
// nothing that others accept starts.
TEST(HandOver, WhenTheLeaderAloneLosesTheStateService) {
  Scenario s(32, 3, 5);
  s.submit(array(4, 30));
  s.world.run_until(30);
  const int first = s.leader();
  ASSERT_GE(first, 0);
  s.world.refuse(s.name(first), "state", true);
  s.world.run_until(38);
  EXPECT_GE(s.leader(), 0);
  EXPECT_NE(s.leader(), first);
  s.world.run_until(42);
  const auto before = s.checker.starts;
  const auto id = s.submit(array(1, 5));
  s.world.run_until(70);
  EXPECT_GT(s.checker.starts, before);
  EXPECT_EQ(s.checker.final_of(id), "done");
  s.world.refuse(s.name(first), "state", false);
  s.world.run_until(90);
  EXPECT_TRUE(s.checker.broken.empty()) << s.checker.text();
}

// An outage is the same for all: giving up would cost the lease validity that carries the work
// over.
TEST(HandOver, NotInAnOutageForAll) {
  Scenario s(33, 3, 5);
  s.submit(array(4, 60));
  s.world.run_until(30);
  const int first = s.leader();
  ASSERT_GE(first, 0);
  s.state.outage(true);
  for (int t = 31; t <= 44; ++t) {
    s.world.run_until(t);
    ASSERT_EQ(s.leader(), first) << "at " << t << " s";
  }
  s.state.outage(false);
  s.world.run_until(60);
  EXPECT_EQ(s.leader(), first);
}

// A leader that no worker reaches renews its grant for ever: every lease would run out.
TEST(HandOver, WhenTheLeaderAloneLosesTheWorkers) {
  Scenario s(34, 3, 5);
  for (int i = 0; i < 6; ++i) s.submit(array(6, 200));
  s.world.run_until(40);
  const int first = s.leader();
  ASSERT_GE(first, 0);
  const auto machines = s.cloud.running();
  ASSERT_GE(machines.size(), 3U);
  // Idle ones may be returned meanwhile.
  std::map<std::string, std::uint32_t> busy_sessions;
  for (const auto& m : machines) {
    if (m->free().cpus < m->shape.cpus) busy_sessions[m->id] = m->epoch();
    s.world.deafen(s.name(first), m->id, true);
    s.world.deafen(m->id, s.name(first), true);
  }
  ASSERT_GE(busy_sessions.size(), 9U);  // 36 tasks, four to a machine
  s.world.run_until(100);
  EXPECT_GE(s.leader(), 0);
  EXPECT_NE(s.leader(), first);
  for (const auto& m : machines) {
    const auto busy = busy_sessions.find(m->id);
    if (busy == busy_sessions.end()) continue;
    EXPECT_FALSE(m->ended) << m->id;
    EXPECT_EQ(m->epoch(), busy->second) << m->id << ": its lease has run out";
  }
  s.world.hear_again();
  s.world.run_until(400);
  EXPECT_TRUE(s.checker.broken.empty()) << s.checker.text();
}

// From an empty fleet, hundreds of machines: one request a second would take longer than the boots.
TEST(Rentals, OfALargeFleetGoOutTogether) {
  Scenario s(35, 60);
  auto ask = array(1000, 60);
  ask.truth.spot = true;
  for (int i = 0; i < 2; ++i) s.submit(ask);
  s.world.run_until(18);  // boots take up to 12 s
  EXPECT_GE(s.cloud.running().size(), 300U);
  EXPECT_TRUE(s.checker.broken.empty()) << s.checker.text();
}

// On a fleet that is full all day, smaller jobs that can still be in time go first; the largest
// must begin within four minutes all the same.
TEST(LargestJobs, BeginWithinFourMinutesOnAFullFleet) {
  Scenario s(36, 1);
  s.world.run_until(5);
  for (int i = 0; i < 3; ++i) s.submit(array(60, 20));
  s.world.run_until(20);
  const auto large = s.submit(array(600, 20));
  auto gang = array(6, 20);
  gang.spec.gang = true;
  gang.spec.cpus = 8;
  const auto large_gang = s.submit(gang);
  for (int i = 0; i < 200; ++i) {
    s.world.at(to_duration(Seconds(i * 2.0)), [&s] { s.submit(array(12, 20)); });
  }
  s.world.run_until(20 + 240);
  EXPECT_TRUE(s.checker.began(large));
  EXPECT_TRUE(s.checker.began(large_gang));
  EXPECT_TRUE(s.checker.broken.empty()) << s.checker.text();
}

}  // namespace
