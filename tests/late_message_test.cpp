// Late and duplicate messages: heartbeats and transactions.

#include <gtest/gtest.h>

#include "sim/scenario.hpp"
#include "sim/traffic.hpp"

namespace {

using namespace sim;

// The number of commands in the response to a heartbeat.
std::size_t command_count(const HttpResponse& response) {
  const auto answer = Json::parse(response.body, nullptr, false);
  return answer.is_object() && answer.contains("orders") ? answer["orders"].size() : 0;
}

// Sends a transaction to the state service. Stores the response's status in `status`, which must
// outlive the response.
void send_transaction(Scenario& scenario, const std::string& node, const std::string& body,
                      int& status) {
  scenario.network.http(node, "10.2.0.1:2379", {"POST", "/txn", body}, 4s,
                        [&status](const HttpResponse& response) { status = response.status; });
}

// A machine has sent the new leader a heartbeat with the old leader's token. Its next heartbeat is
// delayed until its lease has expired and its tasks have started elsewhere. If the leader applied
// it, the tasks would count as running on both machines. Guard: Machine::first_valid_epoch, set by
// LeaseMonitor.
TEST(LateHeartbeat, DoesNotReviveAnExpiredEpoch) {
  Scenario scenario(51);
  const auto id = scenario.users.submit(array_job(1, 120));
  scenario.run_until(40);
  ASSERT_EQ(scenario.checker.tasks_present(id), 1U);
  const int old_leader = scenario.leader();
  ASSERT_GE(old_leader, 0);
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
    // The first response with the new token. The machine is isolated now, and its next heartbeat
    // arrives much later.
    host = in["host"];
    address = to;
    auto next = in;
    next["baton"] = out["baton"];
    next["tick"] = in["tick"].get<std::uint64_t>() + 1;
    body = next.dump();
    scenario.network.isolate(host);
  };
  scenario.crash(old_leader, 0.2);
  scenario.run_until(62);
  ASSERT_FALSE(body.empty());
  scenario.network.alter_response = nullptr;
  std::size_t commands = 0;
  scenario.network.http("copies", address, {"POST", "/v1/report", body}, 4s,
                        [&](const HttpResponse& response) { commands += command_count(response); });
  scenario.run_until(64);
  EXPECT_EQ(commands, 0U) << "the late heartbeat was applied";
  scenario.run_until(400);
  EXPECT_EQ(scenario.checker.final_stage(id), "done");
  EXPECT_TRUE(scenario.checker.violations.empty()) << scenario.checker.report();
}

// Machines have lost a lease and run tasks in their second epoch when the leader crashes, and
// responses do not reach one of them. The first heartbeat that the next leader receives from it is
// a late copy from its first epoch. The leader must not conclude from the second epoch that earlier
// tasks are dead: that epoch holds tasks that the earlier leader started. Guard:
// HeartbeatHandler::on_heartbeat draws no conclusion from an epoch whose beginning it has not seen.
TEST(LateHeartbeat, DoesNotShowThatALaterEpochIsEmpty) {
  for (const std::uint64_t seed : {67, 68, 69}) {
    Scenario scenario(seed, 3, 3, {.report_s = 3, .lease_s = 20, .cancel_s = 40});
    // The tasks fill three machines, and a fourth in part.
    const auto id = scenario.users.submit(array_job(13, 300));
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
    const int old_leader = scenario.leader();
    ASSERT_GE(old_leader, 0);
    const auto reports = last_heartbeat[unreachable];
    scenario.crash(old_leader, 30);
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

// Copies of a dead machine's heartbeats must not keep its lease from expiring: its tasks would not
// be restarted while the copies arrive.
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
  // 10 s until the lease expires, up to 12 s for a boot if one is needed, and 60 s of run time.
  scenario.run_until(40 + 10 + 15 + 60 + 20);
  EXPECT_EQ(scenario.checker.final_stage(id), "done");
  EXPECT_TRUE(scenario.checker.violations.empty()) << scenario.checker.report();
}

// Copies of its heartbeats must not add a returned machine again: tasks would be assigned to it.
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
  ASSERT_TRUE(scenario.cloud.running_workers().empty()) << "a machine has not been returned";
  scenario.network.alter_response = nullptr;
  const auto id = scenario.users.submit(array_job(2, 5));
  std::size_t commands = 0;
  for (int i = 0; i < 40; ++i) {
    // Each copy has a higher sequence number than the one before.
    auto copy = Json::parse(report);
    copy["tick"] = copy["tick"].get<int>() + i;
    scenario.simulator.schedule(Seconds(0.25 * i), [&, body = copy.dump()] {
      scenario.network.http(
          "copies", address, {"POST", "/v1/report", body}, 4s,
          [&](const HttpResponse& response) { commands += command_count(response); });
    });
  }
  scenario.run_until(200);
  EXPECT_EQ(commands, 0U);
  EXPECT_EQ(scenario.checker.final_stage(id), "done");
}

// The leader's first write of the machine registry is delayed, and reaches the state service after
// a newer write that lists more machines. If the delayed write replaced the newer record, the next
// leader would not wait for a machine that it cannot reach. Guard: FencedWriter::write makes each
// transaction conditional on the versions of the leader's own keys.
TEST(LateTransaction, DoesNotUndoANewerMachineRegistry) {
  Scenario scenario(65, 3, 3, {.report_s = 3, .lease_s = 20, .cancel_s = 40});
  std::string delayed_body;
  scenario.network.drop_request = [&](const std::string&, const std::string&,
                                      const HttpRequest& request) {
    const bool writes_registry =
        request.target == "/txn" && request.body.find("roster/") != std::string::npos;
    if (!writes_registry || !delayed_body.empty()) return false;
    delayed_body = request.body;
    return true;
  };
  auto job = array_job(3, 300);
  job.workload.cpus = 16;  // one task per machine
  const auto id = scenario.users.submit(job);
  scenario.run_until(60);
  ASSERT_FALSE(delayed_body.empty());
  ASSERT_EQ(scenario.checker.tasks_present(id), 3U);
  const int old_leader = scenario.leader();
  ASSERT_GE(old_leader, 0);
  int status = -1;
  send_transaction(scenario, scenario.node_name(old_leader), delayed_body, status);
  scenario.run_until(61);
  EXPECT_EQ(status, 409);
  std::size_t isolated = 0;
  for (const auto& worker : scenario.cloud.running_workers()) {
    if (isolated > 0 || delayed_body.find(worker->id) != std::string::npos) continue;
    scenario.network.isolate(worker->id);
    ++isolated;
  }
  ASSERT_EQ(isolated, 1U) << "the delayed registry lists all machines, so its loss cannot be seen";
  scenario.crash(old_leader, 1);
  scenario.run_until(100);
  EXPECT_TRUE(scenario.checker.violations.empty()) << scenario.checker.report();
}

// A job's last task has completed, and the leader's write of the final record is delayed. The user
// cancels the job through another node, which confirms the cancellation. Then the delayed write
// reaches the state service. Guard: the transaction of store::make_end_job_txn is conditional on
// the live record.
TEST(LateTransaction, DoesNotFinishAJobTwice) {
  Scenario scenario(66);
  const auto id = scenario.users.submit(array_job(1, 20));
  scenario.run_until(20);
  const int leader = scenario.leader();
  ASSERT_GE(leader, 0);
  std::string delayed_body;
  scenario.network.drop_request = [&](const std::string& from, const std::string&,
                                      const HttpRequest& request) {
    if (from != scenario.node_name(leader) || request.target != "/txn" ||
        request.body.find("final/") == std::string::npos) {
      return false;
    }
    delayed_body = request.body;
    return true;
  };
  for (double t = 20; t < 80 && delayed_body.empty(); t += 0.1) scenario.run_until(t);
  ASSERT_FALSE(delayed_body.empty());
  scenario.cancel_through_next_node(leader, id);
  scenario.run_until(scenario.simulator.elapsed() + 1);
  ASSERT_TRUE(scenario.checker.cancellation_confirmed(id));
  scenario.network.drop_request = nullptr;
  int status = -1;
  send_transaction(scenario, scenario.node_name(leader), delayed_body, status);
  scenario.run_until(scenario.simulator.elapsed() + 30);
  EXPECT_EQ(status, 409);
  EXPECT_EQ(scenario.checker.final_stage(id), "withdrawn");
  EXPECT_TRUE(scenario.checker.violations.empty()) << scenario.checker.report();
}

}  // namespace
