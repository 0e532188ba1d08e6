// Compares encoded and decoded messages with literals. A change of a single byte in a message
// format breaks compatibility with users, workers, the cloud, the state service and nodes of other
// versions.

#include <gtest/gtest.h>

#include <string>

#include "golden_fixture.hpp"
#include "wire/cloud.hpp"
#include "wire/peer.hpp"
#include "wire/state.hpp"
#include "wire/user.hpp"
#include "wire/worker.hpp"

namespace {

using namespace test_support;

// ---- Users ----

TEST(UserMessages, SubmissionsRoundTrip) {
  for (const char* const literal : {kGangJob, kArrayJob}) {
    EXPECT_EQ(wire::dump(wire::encode_job(wire::decode_job(wire::parse(literal)))), literal);
  }
  const auto job = wire::decode_job(wire::parse(kGangJob));
  EXPECT_EQ(job.id, "req-000412");
  EXPECT_EQ(job.job_class, "train");
  EXPECT_EQ(job.team, "vision");
  EXPECT_EQ(job.kind, JobKind::Gang);
  EXPECT_EQ(job.priority, Priority::High);
  EXPECT_EQ(job.tasks, 16U);
  EXPECT_EQ(job.cpus, 8);
  EXPECT_EQ(job.gpus, 1);
  EXPECT_EQ(job.memory_gb, 64);
  EXPECT_EQ(job.image, "img-07");
  EXPECT_EQ(job.image_gb, 6.2);
  EXPECT_EQ(job.types, std::vector<std::string>{"g8"});
  EXPECT_EQ(job.zone, "a");
  EXPECT_TRUE(job.one_zone);
  EXPECT_FALSE(job.spread);
  EXPECT_TRUE(job.spot);
  EXPECT_EQ(job.estimate, Seconds(240));
  EXPECT_EQ(job.checkpoint_interval, Seconds(30));
  EXPECT_EQ(job.checkpoint_time, Seconds(4));
  EXPECT_EQ(job.deadline, Seconds(900));
}

TEST(UserMessages, ResponsesMatchTheirLiterals) {
  EXPECT_EQ(wire::encode_status("req-1", JobStage::Queued), R"({"ref":"req-1","stage":"queued"})");
  EXPECT_EQ(wire::encode_status("req-1", JobStage::Cancelled),
            R"({"ref":"req-1","stage":"withdrawn"})");
  EXPECT_EQ(wire::encode_status("req-1", JobStage::Running, 3, 13),
            R"({"done":3,"ref":"req-1","running":13,"stage":"running"})");
  EXPECT_EQ(wire::encode_status("req-1", JobStage::Done, 16, 0),
            R"({"done":16,"ref":"req-1","running":0,"stage":"done"})");
  EXPECT_EQ(wire::encode_error("no such job"), R"({"error":"no such job"})");
  EXPECT_EQ(wire::kRunsPath, "/v2/runs");
  EXPECT_EQ(wire::kAbortSuffix, "/abort");
  EXPECT_EQ(wire::kReadyPath, "/ready");
  EXPECT_EQ(wire::kHeartbeatPath, "/v1/report");
}

// ---- Workers ----

TEST(WorkerMessages, HeartbeatsAreDecoded) {
  const auto heartbeat = wire::decode_heartbeat(
      R"({"host":"n-000231","endpoint":"10.1.0.232:9000","flavor":"g8","yard":"a","loaner":true,)"
      R"("tenure":1,"tick":88,"baton":41,"warningS":12.5,"pieces":[)"
      R"({"piece":"req-000412/3","try":2,"stage":"pulling"},)"
      R"({"piece":"req-000412/4","try":2,"stage":"gathering"},)"
      R"({"piece":"req-000412/5","try":2,"stage":"running"},)"
      R"({"piece":"req-000412/6","try":2,"stage":"saving"},)"
      R"({"piece":"req-1/0","try":1,"stage":"exited","cause":"done"},)"
      R"({"piece":"req-1/1","try":1,"stage":"exited","cause":"halted","stored":true},)"
      R"({"piece":"req-1/2","try":1,"stage":"exited","cause":"peers"},)"
      R"({"piece":"req-1/3","try":1,"stage":"exited","cause":"alone"},)"
      R"({"piece":"req-1/4","try":1,"stage":"exited","cause":"error"},)"
      R"({"piece":"req-1/5","try":1,"stage":"exited","cause":"no_room"},)"
      R"({"piece":"req-1/6","try":1,"stage":"exited","cause":"in_use"},)"
      R"({"piece":"req-1/7","try":1,"stage":"exited","cause":"no_such"}]})");
  EXPECT_EQ(heartbeat.machine, "n-000231");
  EXPECT_EQ(heartbeat.address, "10.1.0.232:9000");
  EXPECT_EQ(heartbeat.type, "g8");
  EXPECT_EQ(heartbeat.zone, "a");
  EXPECT_TRUE(heartbeat.spot);
  EXPECT_EQ(heartbeat.epoch, 1U);
  EXPECT_EQ(heartbeat.sequence, 88U);
  EXPECT_EQ(heartbeat.token, 41U);
  EXPECT_EQ(heartbeat.preemption_notice, Seconds(12.5));
  const TaskState states[] = {TaskState::Fetching, TaskState::Waiting, TaskState::Running,
                              TaskState::Saving};
  const ExitCause causes[] = {ExitCause::Done,         ExitCause::Stopped, ExitCause::PeerLost,
                              ExitCause::PeersMissing, ExitCause::Error,   ExitCause::NoRoom,
                              ExitCause::Busy,         ExitCause::Unknown};
  ASSERT_EQ(heartbeat.tasks.size(), 12U);
  for (std::uint32_t i = 0; i < 4; ++i) {
    EXPECT_EQ(heartbeat.tasks[i].task, (TaskId{"req-000412", i + 3}));
    EXPECT_EQ(heartbeat.tasks[i].attempt, 2U);
    EXPECT_EQ(heartbeat.tasks[i].state, states[i]);
  }
  for (std::uint32_t i = 0; i < 8; ++i) {
    EXPECT_EQ(heartbeat.tasks[i + 4].task, (TaskId{"req-1", i}));
    EXPECT_EQ(heartbeat.tasks[i + 4].state, TaskState::Exited);
    EXPECT_EQ(heartbeat.tasks[i + 4].cause, causes[i]);
    EXPECT_EQ(heartbeat.tasks[i + 4].saved, i == 1);
  }
}

TEST(WorkerMessages, CommandsMatchTheirLiterals) {
  Command start{Command::Op::Start, {"req-000412", 4}, 2};
  start.checkpoint_interval = Seconds(30);
  const std::vector<Command> commands{start,
                                      {Command::Op::Start, {"req-2", 0}, 3},
                                      {Command::Op::Stop, {"req-000377", 1}, 1, Seconds(10)},
                                      {Command::Op::Acknowledge, {"req-000398", 0}, 1}};
  const std::string command_list =
      R"("orders":[{"verb":"run","bookmarkS":30.0,"piece":"req-000412/4","try":2},)"
      R"({"verb":"run","piece":"req-2/0","try":3},)"
      R"({"verb":"kill","leewayS":10.0,"piece":"req-000377/1","try":1},)"
      R"({"verb":"clear","piece":"req-000398/0","try":1}]})";
  EXPECT_EQ(wire::encode_commands(41, {}), R"({"baton":41,"orders":[]})");
  EXPECT_EQ(wire::encode_commands(41, commands), R"({"baton":41,)" + command_list);
  EXPECT_EQ(wire::encode_direct_commands(41, 7, commands),
            R"({"baton":41,"tenure":7,)" + command_list);
  EXPECT_EQ(wire::encode_not_leader("ghat-2"), R"({"foreman":"ghat-2"})");
  EXPECT_EQ(wire::encode_not_leader(""), "{}");
  EXPECT_EQ(wire::kDirectCommandPath, "/orders");
}

// ---- Cloud ----

TEST(CloudMessages, RequestsMatchTheirLiterals) {
  expect_request(wire::machine_types_request(), "GET", "/machine_types", "");
  expect_request(wire::rent_request({"r-17", "g8", "a", true, 12, 0}), "POST", "/machines",
                 R"({"ask":"r-17","flavor":"g8","howMany":12,"loaner":true,"yard":"a"})");
  expect_request(
      wire::rent_request({"r-17", "g8", "a", false, 1, 41}), "POST", "/machines",
      R"({"ask":"r-17","baton":41,"flavor":"g8","howMany":1,"loaner":false,"yard":"a"})");
  expect_request(wire::return_request({{"n-1", "n-2"}, "", 0}), "POST", "/machines/return",
                 R"({"hosts":["n-1","n-2"]})");
  expect_request(wire::return_request({{"n-1"}, "d-41-2", 41}), "POST", "/machines/return",
                 R"({"ask":"d-41-2","baton":41,"hosts":["n-1"]})");
  expect_request(wire::list_machines_request(""), "GET", "/machines?limit=500", "");
  expect_request(wire::list_machines_request("n-000230"), "GET",
                 "/machines?limit=500&since=n-000230", "");
}

TEST(CloudMessages, ResponsesAreDecoded) {
  EXPECT_EQ(wire::decode_rented_machines(R"({"hosts":["n-1","n-2"]})"),
            (std::vector<std::string>{"n-1", "n-2"}));
  const auto page = wire::decode_machines(
      R"({"hosts":[{"ref":"n-1","endpoint":"10.1.0.232:9000","flavor":"g8","yard":"a",)"
      R"("loaner":true,"stage":"running","ageS":61.5},)"
      R"({"ref":"n-2","flavor":"g8","yard":"a","loaner":false,"stage":"booting","ageS":1.0},)"
      R"({"ref":"n-3","flavor":"g8","yard":"a","loaner":false,"stage":"failed","ageS":2.0}],)"
      R"("hasNext":true})");
  EXPECT_TRUE(page.more);
  ASSERT_EQ(page.machines.size(), 3U);
  EXPECT_EQ(page.machines[0].id, "n-1");
  EXPECT_EQ(page.machines[0].address, "10.1.0.232:9000");
  EXPECT_EQ(page.machines[0].type, "g8");
  EXPECT_EQ(page.machines[0].zone, "a");
  EXPECT_TRUE(page.machines[0].spot);
  EXPECT_EQ(page.machines[0].age, Seconds(61.5));
  EXPECT_EQ(page.machines[0].state, ListedMachine::State::Running);
  EXPECT_EQ(page.machines[1].state, ListedMachine::State::Booting);
  EXPECT_EQ(page.machines[2].state, ListedMachine::State::Failed);
}

// ---- State service ----

TEST(StateServiceMessages, RequestsMatchTheirLiterals) {
  expect_request(wire::get_request("a/b"), "GET", "/keys/a/b", "");
  expect_request(wire::list_keys_request("c/", "", 200), "GET", "/keys?prefix=c/&limit=200", "");
  expect_request(wire::list_keys_request("c/", "c/7", 200), "GET",
                 "/keys?prefix=c/&since=c/7&limit=200", "");
  wire::Txn txn;
  txn.conditions = {{"a/b", 0}, {"leader", 41}};
  txn.changes = {{"a/b", wire::Json{{"x", 1}}, 7}, {"c/e", wire::Json(2)}, {"c/d", std::nullopt}};
  expect_request(
      wire::txn_request(txn), "POST", "/txn",
      R"({"apply":[{"hold":7,"put":"a/b","value":{"x":1}},{"put":"c/e","value":2},)"
      R"({"drop":"c/d"}],"when":[{"key":"a/b","stamp":0},{"key":"leader","stamp":41}]})");
  expect_request(wire::create_lease_request(5s), "POST", "/grants", R"({"ttlMs":5000})");
  expect_request(wire::renew_lease_request(7), "POST", "/grants/7/touch", "");
  expect_request(wire::revoke_lease_request(7), "DELETE", "/grants/7", "");
  expect_request(wire::watch_request("c/", 431, 10s), "GET",
                 "/watch?prefix=c/&since=431&blockMs=10000", "");
}

TEST(StateServiceMessages, ResponsesAreDecoded) {
  const auto item = wire::decode_item(R"({"key":"a/b","value":{"x":1},"stamp":412,"hold":7})");
  EXPECT_EQ(item.key, "a/b");
  EXPECT_EQ(*item.value, (wire::Json{{"x", 1}}));
  EXPECT_EQ(item.version, 412U);
  const auto page = wire::decode_items(
      R"({"items":[{"key":"c/8","value":1,"stamp":5}],"hasNext":true,"ledger":431})");
  ASSERT_EQ(page.items.size(), 1U);
  EXPECT_TRUE(page.more);
  EXPECT_EQ(page.revision, 431U);
  EXPECT_EQ(wire::decode_revision(R"({"ledger":432})"), 432U);
  EXPECT_EQ(wire::decode_failed_conditions(R"({"failed":["a/b"],"ledger":431})"),
            std::vector<std::string>{"a/b"});
  EXPECT_EQ(wire::decode_store_lease(R"({"hold":7})"), 7U);
  const auto events =
      wire::decode_events(R"({"ledger":433,"news":[{"put":"c/9","value":{"x":2},"stamp":433},)"
                          R"({"drop":"c/d","stamp":432}]})");
  EXPECT_EQ(events.revision, 433U);
  ASSERT_EQ(events.items.size(), 2U);
  EXPECT_EQ(events.items[0].key, "c/9");
  EXPECT_EQ(*events.items[0].value, (wire::Json{{"x", 2}}));
  EXPECT_EQ(events.items[0].version, 433U);
  EXPECT_EQ(events.items[1].key, "c/d");
  EXPECT_FALSE(events.items[1].value);
}

// ---- Peers ----

TEST(PeerMessages, MatchTheirLiteral) {
  const std::string literal =
      "9b05a6676861742d31a6676861742d3029c3ccfa289193aa7265712d303030343132030d91aa7265712d30303033"
      "3737cd03e8ce00011170";
  const auto gossip = wire::decode_gossip(unhex(literal));
  ASSERT_TRUE(gossip);
  EXPECT_EQ(gossip->node, "ghat-1");
  EXPECT_EQ(gossip->leader, "ghat-0");
  EXPECT_EQ(gossip->token, 41U);
  EXPECT_TRUE(gossip->store_reachable);
  EXPECT_EQ(gossip->store_age_ms, 250U);
  EXPECT_EQ(gossip->stepped_down_token, 40U);
  ASSERT_EQ(gossip->counts.size(), 1U);
  EXPECT_EQ(gossip->counts[0].job, "req-000412");
  EXPECT_EQ(gossip->counts[0].done, 3U);
  EXPECT_EQ(gossip->counts[0].running, 13U);
  EXPECT_EQ(gossip->cancelled, std::vector<std::string>{"req-000377"});
  EXPECT_EQ(gossip->heartbeat_age_ms, 1000U);
  EXPECT_EQ(gossip->leader_age_ms, 70000U);
  EXPECT_EQ(hex(wire::encode_gossip(*gossip)), literal);
}

}  // namespace
