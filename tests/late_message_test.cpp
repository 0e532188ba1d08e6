// Messages that arrive late or twice: heartbeats and transactions.

#include <gtest/gtest.h>

#include "sim/scenario.hpp"
#include "sim/traffic.hpp"

namespace {

using namespace sim;

// The commands that the response to a heartbeat contains.
std::size_t command_count(const HttpResponse& response) {
  const auto answer = Json::parse(response.body, nullptr, false);
  return answer.is_object() && answer.contains("orders") ? answer["orders"].size() : 0;
}

// Sends a transaction to the state service. Its status gets into `status`, which must outlive the
// response.
void send_transaction(Scenario& scenario, const std::string& node, const std::string& body,
                      int& status) {
  scenario.network.http(node, "10.2.0.1:2379", {"POST", "/txn", body}, 4s,
                        [&status](const HttpResponse& response) { status = response.status; });
}

// A machine has answered the new leader under the old token. Its next heartbeat is delayed until
// its lease has expired and its tasks have started elsewhere. Guard: first_valid_epoch in
// expire_leases.
TEST(LateHeartbeat, RevivesNoExpiredEpoch) {
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
    // First answer under the new token: the machine is isolated now, and its next heartbeat
    // arrives much later.
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
                        [&](const HttpResponse& response) { orders += command_count(response); });
  scenario.run_until(64);
  EXPECT_EQ(orders, 0U) << "taken for news";
  scenario.run_until(400);
  EXPECT_EQ(scenario.checker.final_stage(id), "done");
  EXPECT_TRUE(scenario.checker.violations.empty()) << scenario.checker.report();
}

// Machines have lost a lease and work in their second epoch when the leader ends, and answers do
// not reach one of them. The first that the next leader gets from it is a late copy from its first
// epoch. The second epoch then is no news of the term: it holds what the earlier leader started.
// Guard: HeartbeatHandler::on_heartbeat draws nothing from epochs whose begin it has not seen.
TEST(LateHeartbeat, DoesNotShowThatALaterEpochIsEmpty) {
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

// Copies of a dead machine's heartbeats must not make it look alive: its tasks would wait for as
// long as the copies come.
TEST(DuplicateHeartbeat, DoesNotKeepADeadMachineAlive) {
  Scenario scenario(22);
  const auto id = scenario.users.submit(array_job(1, 60));
  std::string last, address, host;
  scenario.network.alter_response = [&](const std::string& to, const HttpRequest& request,
                                        HttpResponse& response) {
    if (!is_accepted_heartbeat(request, response)) return;
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
  // A lease of 10 s, perhaps a boot of up to 12 s, and a run of 60 s.
  scenario.run_until(40 + 10 + 15 + 60 + 20);
  EXPECT_EQ(scenario.checker.final_stage(id), "done");
  EXPECT_TRUE(scenario.checker.violations.empty()) << scenario.checker.report();
}

// Copies must not revive a machine that has been returned: tasks would be assigned to it.
TEST(DuplicateHeartbeat, DoesNotReviveAReturnedMachine) {
  Scenario scenario(28);
  scenario.users.submit(array_job(1, 5));
  std::string report, address, host;
  scenario.network.alter_response = [&](const std::string& to, const HttpRequest& request,
                                        HttpResponse& response) {
    if (!is_accepted_heartbeat(request, response)) return;
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
      scenario.network.http(
          "copies", address, {"POST", "/v1/report", body}, 4s,
          [&](const HttpResponse& response) { orders += command_count(response); });
    });
  }
  scenario.run_until(200);
  EXPECT_EQ(orders, 0U);
  EXPECT_EQ(scenario.checker.final_stage(id), "done");
}

// The leader's first write of the machine registry gets no answer and is applied after a newer one,
// which names more machines. If it undid that, the next leader would not wait for a machine that it
// cannot ask. Guard: FencedWriter::write, the versions of the leader's own keys.
TEST(LateTransaction, DoesNotUndoANewerMachineRegistry) {
  Scenario scenario(65, 3, 3, {.report_s = 3, .lease_s = 20, .cancel_s = 40});
  std::string held;
  scenario.network.drop_request = [&](const std::string&, const std::string&,
                                      const HttpRequest& request) {
    const bool writes_registry =
        request.target == "/txn" && request.body.find("roster/") != std::string::npos;
    if (!writes_registry || !held.empty()) return false;
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
  send_transaction(scenario, scenario.node_name(old), held, status);
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

// A job's last task has ended, and the leader's write of that gets no answer. The user cancels the
// job through another node, which confirms it. Then the write is applied after all. Guard:
// store::make_end_job_txn, conditional on the live record.
TEST(LateTransaction, DoesNotFinishAJobTwice) {
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
  send_transaction(scenario, scenario.node_name(leader), held, status);
  scenario.run_until(scenario.simulator.elapsed() + 30);
  EXPECT_EQ(status, 409);
  EXPECT_EQ(scenario.checker.final_stage(id), "withdrawn");
  EXPECT_TRUE(scenario.checker.violations.empty()) << scenario.checker.report();
}

}  // namespace
