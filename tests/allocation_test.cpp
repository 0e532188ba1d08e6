// Heap allocations of the hot paths. The counts are deterministic, and must not grow with the
// number of tasks, commands or machines that do not change.

#include <gtest/gtest.h>
#include <unistd.h>
#include <uv.h>

#include "cluster/job_table.hpp"
#include "net/http_client.hpp"
#include "net/http_server.hpp"
#include "sim/allocations.hpp"
#include "sim/scenario.hpp"
#include "wire/worker.hpp"

namespace {

using namespace sim;

std::string heartbeat_body(std::size_t tasks) {
  Json list = Json::array();
  for (std::size_t i = 0; i < tasks; ++i) {
    list.push_back(
        {{"piece", "req-000412/" + std::to_string(i)}, {"try", i}, {"stage", "running"}});
  }
  return Json{{"host", "n-000001"},  {"endpoint", "10.1.0.1:9000"},
              {"flavor", "c16"},     {"yard", "north"},
              {"loaner", true},      {"tenure", 1},
              {"tick", 8},           {"baton", 41},
              {"warningS", nullptr}, {"pieces", list}}
      .dump();
}

TEST(HeartbeatDecoder, AllocatesNothingPerTask) {
  const auto cost = [](std::size_t tasks) {
    auto body = heartbeat_body(tasks);
    const auto before = allocations();
    const auto report = wire::decode_heartbeat(std::move(body));
    EXPECT_EQ(report.tasks.size(), tasks);
    return allocations().since(before).count;
  };
  // The list of tasks grows by doubling, which allocates a few times.
  EXPECT_LE(cost(64) - cost(1), 8U);
}

TEST(CommandWriter, AllocatesNothingPerCommand) {
  const auto cost = [](std::size_t commands) {
    const std::vector<Command> list(commands, Command{Command::Op::Start, {"req-000412", 7}, 9});
    const auto before = allocations();
    EXPECT_FALSE(wire::encode_commands(41, list).empty());
    return allocations().since(before).count;
  };
  EXPECT_LE(cost(65) - cost(1), 16U);
}

TEST(JobTable, KeepsWaitingTasksAsRuns) {
  JobSpec spec;
  spec.id = "req-000001";
  spec.tasks = 100'000;
  cluster::JobTable jobs;
  const auto before = allocations();
  cluster::Job& job = jobs.add(spec, 1, {});
  // Two bits per task, and the size of the job itself.
  EXPECT_LE(allocations().since(before).held, 2 * 100'000 / 8 + 4096);
  EXPECT_EQ(job.waiting.size(), 100'000U);
  EXPECT_EQ(job.waiting.run_count(), 1U);
  for (std::uint32_t i = 0; i < 1000; ++i) EXPECT_EQ(cluster::JobTable::take_waiting(job), i);
  EXPECT_EQ(job.waiting.run_count(), 1U);
}

// Returns the allocations of the leader's timer loops in ten seconds without any change.
std::uint64_t steady_state_allocations(std::size_t per_pool) {
  Scenario scenario(77, per_pool);
  scenario.run_until(2);
  scenario.users.submit(spot_array_job(static_cast<std::uint32_t>(per_pool * 35), 900));
  scenario.run_until(80);
  EXPECT_GE(scenario.cloud.running_workers().size(), (Scenario::kPools - 1) * per_pool);
  const int leader = scenario.leader();
  if (leader < 0) return 0;
  const auto& runtime = *scenario.process(leader).runtime;
  const auto before = runtime.timer_allocations;
  scenario.run_until(90);
  return runtime.timer_allocations - before;
}

TEST(LeaderLoops, DoNotAllocateMoreForALargerFleet) {
  const auto small = steady_state_allocations(3), large = steady_state_allocations(24);
  EXPECT_GT(small, 0U);
  EXPECT_LE(large, small * 3 / 2) << "allocations with 36 machines: " << small;
}

// Memory that a server and its client hold for a connection between two messages.
TEST(IdleConnection, HoldsLittleMemory) {
  uv_loop_t loop;
  uv_loop_init(&loop);
  constexpr int kConnections = 100;
  // Allocated on the heap and never freed: the loop owns their handles until the process ends.
  net::HttpServer* server = nullptr;
  std::string address;
  for (int port = 20000 + getpid() % 20000; address.empty(); ++port) {
    server = new net::HttpServer(&loop, {}, [](const HttpRequest&, const net::Respond& respond) {
      respond({200, std::string(20'000, 'x')});
    });
    try {
      server->listen("127.0.0.1:" + std::to_string(port));
      address = "127.0.0.1:" + std::to_string(port);
    } catch (const std::runtime_error&) {
      continue;  // the port is in use
    }
  }
  auto* client = new net::HttpClient(&loop, kConnections);
  const auto before = allocations();
  int ended = 0, answered = 0;
  for (int i = 0; i < kConnections; ++i) {
    client->send(address, {"POST", "/", std::string(20'000, 'y')}, 10s,
                 [&](const HttpResponse& response) {
                   ++ended;
                   answered += response.status == 200 ? 1 : 0;
                 });
  }
  // Each request ends within its timeout.
  while (ended < kConnections) uv_run(&loop, UV_RUN_ONCE);
  ASSERT_EQ(answered, kConnections);
  for (int i = 0; i < 20; ++i) uv_run(&loop, UV_RUN_NOWAIT);
  ASSERT_EQ(server->connections(), 8U) << "the client keeps eight idle connections per address";
  EXPECT_LE(allocations().since(before).held, 8 * 2 * 2048);
}

}  // namespace
