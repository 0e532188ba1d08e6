// Troubles one at a time, each against the guard that answers it: every test here fails when its
// guard is taken out.

#include <gtest/gtest.h>

#include "cluster/machine_table.hpp"
#include "sim/scenario.hpp"
#include "sim/traffic.hpp"

namespace {

using namespace sim;

// Heartbeats arrive, answers and commands do not: without a guard the leader would send it work
// again and again, for as long as the trouble lasts.
TEST(DeafMachine, GetsNoMoreWorkAndIsReturned) {
  Scenario scenario(21);
  for (int i = 0; i < 8; ++i) scenario.users.submit(array_job(4, 30));
  scenario.run_until(40);
  const auto machines = scenario.cloud.running_workers();
  ASSERT_FALSE(machines.empty());
  const auto& deaf = machines.front();
  for (int i = 0; i < scenario.node_count(); ++i)
    scenario.network.set_one_way_drop(scenario.node_name(i), deaf->id, true);
  std::map<std::string, int> ordered;
  scenario.network.alter_response = [&](const std::string&, const HttpRequest& request,
                                        HttpResponse& response) {
    if (request.target != "/v1/report" || response.status != 200) return;
    if (Json::parse(request.body)["host"] != deaf->id) return;
    const auto answer = Json::parse(response.body);
    for (const auto& c : answer["orders"]) {
      if (c["verb"] == "run") ++ordered[c["piece"].get<std::string>()];
    }
  };
  for (int i = 0; i < 60; ++i) {
    scenario.simulator.schedule(Seconds(i * 2),
                                [&scenario] { scenario.users.submit(array_job(6, 30)); });
  }
  scenario.run_until(200);
  EXPECT_TRUE(deaf->terminated) << "still rented";
  EXPECT_LE(ordered.size(), 16U) << "so many starts were sent where none is heard";
  scenario.run_until(500);
  EXPECT_TRUE(scenario.checker.violations.empty()) << scenario.checker.report();
  for (const auto& id : scenario.users.job_ids()) {
    EXPECT_EQ(scenario.checker.final_stage(id), "done") << id;
  }
}

// Copies of a dead machine's reports must not keep it looking alive: its work would wait for as
// long as they come.
TEST(LateCopies, DoNotKeepADeadMachineAlive) {
  Scenario scenario(22);
  const auto id = scenario.users.submit(array_job(1, 60));
  std::string last, address, host;
  scenario.network.alter_response = [&](const std::string& to, const HttpRequest& request,
                                        HttpResponse& response) {
    if (request.target != "/v1/report" || response.status != 200) return;
    if (request.body.find("\"running\"") == std::string::npos) return;
    last = request.body;
    address = to;
    host = Json::parse(request.body)["host"];
  };
  scenario.run_until(40);
  ASSERT_FALSE(last.empty());
  scenario.network.alter_response = nullptr;
  scenario.cloud.reclaim(host);
  for (int i = 0; i < 400; ++i) {
    scenario.simulator.schedule(Seconds(0.5 * i), [&] {
      scenario.network.http("copies", address, {"POST", "/v1/report", last}, 4s,
                            [](const HttpResponse&) {});
    });
  }
  // A lease of 10 s, perhaps a boot of up to 12 s, and 60 s to run.
  scenario.run_until(40 + 10 + 15 + 60 + 20);
  EXPECT_EQ(scenario.checker.final_stage(id), "done");
  EXPECT_TRUE(scenario.checker.violations.empty()) << scenario.checker.report();
}

// Nor may they bring back a machine that has been returned: work would be planned for it.
TEST(LateCopies, DoNotBringBackAReturnedMachine) {
  Scenario scenario(28);
  scenario.users.submit(array_job(1, 5));
  std::string report, address, host;
  scenario.network.alter_response = [&](const std::string& to, const HttpRequest& request,
                                        HttpResponse& response) {
    if (request.target != "/v1/report" || response.status != 200) return;
    report = request.body;
    address = to;
    host = Json::parse(report)["host"];
  };
  scenario.run_until(120);
  ASSERT_FALSE(report.empty());
  ASSERT_TRUE(scenario.cloud.running_workers().empty()) << "not returned";
  scenario.network.alter_response = nullptr;
  const auto id = scenario.users.submit(array_job(2, 5));
  std::size_t orders = 0;
  for (int i = 0; i < 40; ++i) {
    // Each looks newer than the one before.
    auto copy = Json::parse(report);
    copy["tick"] = copy["tick"].get<int>() + i;
    scenario.simulator.schedule(Seconds(0.25 * i), [&, body = copy.dump()] {
      scenario.network.http("copies", address, {"POST", "/v1/report", body}, 4s,
                            [&](const HttpResponse& response) {
                              const auto in = Json::parse(response.body, nullptr, false);
                              if (in.is_object() && in.contains("orders"))
                                orders += in["orders"].size();
                            });
    });
  }
  scenario.run_until(200);
  EXPECT_EQ(orders, 0U);
  EXPECT_EQ(scenario.checker.final_stage(id), "done");
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
  Scenario scenario(23, 3, 5);
  const auto id = scenario.users.submit(array_job(4, 300));
  scenario.run_until(40);
  const int old = scenario.leader();
  ASSERT_GE(old, 0);
  scenario.set_control_plane_drop(old, true);
  scenario.simulator.schedule(2s, [&] { scenario.users.cancel(id); });
  int next = -1;
  for (double t = 40; t < 75 && next < 0; t += 0.5) {
    scenario.run_until(t);
    for (int i = 0; i < scenario.node_count(); ++i) {
      if (i != old && scenario.process(i).node->leading()) next = i;
    }
  }
  EXPECT_GE(next, 0) << "nobody took over within 35 s";
  scenario.run_until(200);
  EXPECT_EQ(scenario.checker.final_stage(id), "withdrawn");
  EXPECT_TRUE(scenario.checker.violations.empty()) << scenario.checker.report();
}

// A machine of a gang is not returned while the others come: gangs of several whole machines would
// never find them together.
TEST(WaitingGang, KeepsTheMachinesThatHaveCome) {
  Scenario scenario(24);
  auto job = array_job(12, 20);
  job.workload.gang = true;
  job.requirements.one_zone = true;
  job.requirements.zone = "south";
  // Of the three machines it needs, a request brings one; the next is asked for 15 s later.
  scenario.cloud.rental_limit = 1;
  scenario.run_until(5);
  const auto id = scenario.users.submit(job);
  scenario.run_until(180);
  EXPECT_EQ(scenario.checker.final_stage(id), "done");
}

TEST(Checker, CatchesQuestionsLeftWithoutAnswer) {
  Scenario scenario(25);
  const auto id = scenario.users.submit(array_job(1, 400));
  scenario.run_until(30);
  scenario.checker.on_faults_over();
  scenario.network.alter_response = [&](const std::string&, const HttpRequest& request,
                                        HttpResponse& response) {
    if (request.method == "GET" && request.target == "/v2/runs/" + id) response.status = 503;
  };
  scenario.run_until(150);
  EXPECT_TRUE(scenario.checker.violated("forgotten")) << scenario.checker.report();
}

TEST(Checker, CatchesAClassLeftUnserved) {
  Scenario scenario(26);
  // Nothing is ever started for gangs.
  scenario.network.alter_response = [&](const std::string&, const HttpRequest& request,
                                        HttpResponse& response) {
    remove_commands(request, response, [&](const Json& c) {
      const auto piece = c["piece"].get<std::string>();
      return c["verb"] == "run" &&
             scenario.jobs.workloads.at(piece.substr(0, piece.find('/'))).gang;
    });
  };
  for (int i = 0; i < 6; ++i) {
    auto job = array_job(2, 10);
    job.workload.gang = i % 2 == 0;
    scenario.users.submit(job);
  }
  scenario.run_until(400);
  scenario.checker.check_service([](const std::string&) { return true; });
  EXPECT_TRUE(scenario.checker.violated("served")) << scenario.checker.report();
}

// Hundreds of machines, five nodes, and the leader ending again and again.
TEST(GrownFleet, KeepsTheRulesAndServesEveryClass) {
  Scenario scenario(27, 20, 5);
  auto& simulator = scenario.simulator;
  for (double t = 1; t < 90; t += simulator.uniform(0.5, 1.5) * 0.6) {
    simulator.schedule(Seconds(t), [&scenario, &simulator] {
      auto job = random_job(simulator);
      // The other team's limit holds little.
      if (simulator.chance(0.9)) job.requirements.team = "blue";
      if (!job.workload.gang && job.requirements.team == "blue") job.workload.tasks *= 5;
      scenario.users.submit(job);
    });
  }
  for (const int at : {40, 55, 56, 80}) {
    simulator.schedule(std::chrono::seconds(at), [&scenario, &simulator] {
      if (scenario.leader() >= 0) scenario.crash(scenario.leader(), simulator.uniform(0.05, 3));
    });
  }
  simulator.schedule(100s, [&scenario] { scenario.checker.on_faults_over(); });
  scenario.run_until(420);
  // Work of the team without a limit could always begin: there is room for all of it.
  scenario.checker.check_service(
      [&scenario](const std::string& id) { return scenario.checker.team_of(id) == "blue"; });
  EXPECT_TRUE(scenario.checker.violations.empty()) << scenario.checker.report();
  EXPECT_GT(scenario.checker.starts, 2000U);
}

// The state service remembers so many changes only. Followers watch the leader's key, which seldom
// changes: watching from its version was turned away at once, again and again, by all of them.
TEST(Followers, KeepWatchingWhenTheLeaderKeyIsOld) {
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

// A leader that alone loses the state service would keep its grant for many seconds in which
// nothing that others accept starts.
TEST(HandOver, WhenTheLeaderAloneLosesTheStateService) {
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

// An outage is the same for all: giving up would cost the lease validity that carries the work
// over.
TEST(HandOver, NotInAnOutageForAll) {
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

// A leader that no worker reaches renews its grant for ever: every lease would run out.
TEST(HandOver, WhenTheLeaderAloneLosesTheWorkers) {
  Scenario scenario(34, 3, 5);
  for (int i = 0; i < 6; ++i) scenario.users.submit(array_job(6, 200));
  scenario.run_until(40);
  const int first = scenario.leader();
  ASSERT_GE(first, 0);
  const auto machines = scenario.cloud.running_workers();
  ASSERT_GE(machines.size(), 3U);
  // Idle ones may be returned meanwhile.
  std::map<std::string, std::uint32_t> busy_sessions;
  for (const auto& worker : machines) {
    if (worker->free().cpus < worker->shape.cpus) busy_sessions[worker->id] = worker->epoch();
    scenario.network.set_one_way_drop(scenario.node_name(first), worker->id, true);
    scenario.network.set_one_way_drop(worker->id, scenario.node_name(first), true);
  }
  ASSERT_GE(busy_sessions.size(), 9U);  // 36 tasks, four to a machine
  scenario.run_until(100);
  EXPECT_GE(scenario.leader(), 0);
  EXPECT_NE(scenario.leader(), first);
  for (const auto& worker : machines) {
    const auto busy = busy_sessions.find(worker->id);
    if (busy == busy_sessions.end()) continue;
    EXPECT_FALSE(worker->terminated) << worker->id;
    EXPECT_EQ(worker->epoch(), busy->second) << worker->id << ": its lease has run out";
  }
  scenario.network.clear_drops();
  scenario.run_until(400);
  EXPECT_TRUE(scenario.checker.violations.empty()) << scenario.checker.report();
}

// From an empty fleet, hundreds of machines: one request a second would take longer than the boots.
TEST(Rentals, OfALargeFleetGoOutTogether) {
  Scenario scenario(35, 60);
  auto job = array_job(1000, 60);
  job.requirements.spot = true;
  for (int i = 0; i < 2; ++i) scenario.users.submit(job);
  scenario.run_until(18);  // boots take up to 12 s
  EXPECT_GE(scenario.cloud.running_workers().size(), 300U);
  EXPECT_TRUE(scenario.checker.violations.empty()) << scenario.checker.report();
}

// On a fleet that is full all day, smaller jobs that can still be in time go first; the largest
// must begin within four minutes all the same.
TEST(LargestJobs, BeginWithinFourMinutesOnAFullFleet) {
  Scenario scenario(36, 1);
  scenario.run_until(5);
  for (int i = 0; i < 3; ++i) scenario.users.submit(array_job(60, 20));
  scenario.run_until(20);
  const auto large = scenario.users.submit(array_job(600, 20));
  auto gang = array_job(6, 20);
  gang.workload.gang = true;
  gang.workload.cpus = 8;
  const auto large_gang = scenario.users.submit(gang);
  for (int i = 0; i < 200; ++i) {
    scenario.simulator.schedule(Seconds(i * 2.0),
                                [&scenario] { scenario.users.submit(array_job(12, 20)); });
  }
  scenario.run_until(20 + 240);
  EXPECT_TRUE(scenario.checker.has_begun(large));
  EXPECT_TRUE(scenario.checker.has_begun(large_gang));
  EXPECT_TRUE(scenario.checker.violations.empty()) << scenario.checker.report();
}

}  // namespace
