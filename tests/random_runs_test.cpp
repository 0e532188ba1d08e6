// Seeded random runs of whole deployments, with the rules checked after each step.

#include <gtest/gtest.h>

#include "base/log.hpp"
#include "sim/fault_injection.hpp"
#include "sim/traffic.hpp"

namespace {

using namespace sim;

const bool kQuiet = [] {
  spdlog::set_level(std::getenv("ASTERSTAIR_TEST_LOG") != nullptr ? spdlog::level::debug
                                                                  : spdlog::level::off);
  return true;
}();

class RandomizedSimulation : public testing::TestWithParam<std::tuple<FaultMix, int>> {};

TEST_P(RandomizedSimulation, KeepsTheRulesAndEndsTheJobs) {
  const auto& [faults, seed] = GetParam();
  Scenario scenario(static_cast<std::uint64_t>(seed), 3, faults.nodes);
  run_randomized(scenario, faults, 300);
  // Then quiet: whatever was accepted becomes final.
  end_all_faults(scenario);
  // Nodes that have just ended are back within seconds, or a lease and some; so are machines that
  // hang.
  const bool longer = faults.machine_hangs || faults.mass_cancellations || faults.all_nodes_down ||
                      faults.leader_crashes;
  scenario.simulator.schedule(longer ? 30s : 10s,
                              [&scenario] { scenario.checker.on_faults_over(); });
  scenario.run_until(1500);
  scenario.checker.check_service([](const std::string&) { return false; });
  EXPECT_TRUE(scenario.checker.violations.empty()) << "seed " << seed << "\n"
                                                   << scenario.checker.report();
  EXPECT_GT(scenario.checker.completed_tasks, 50U) << "seed " << seed;
  unsigned open = 0;
  std::string which;
  for (const auto& id : scenario.users.job_ids()) {
    if (scenario.checker.is_accepted(id) && !scenario.checker.is_final(id)) {
      ++open;
      which += id + " ";
    }
  }
  EXPECT_EQ(open, 0U) << "seed " << seed << ": " << which;
}

// Two troubles and more at a time, as the operators' page names them.
INSTANTIATE_TEST_SUITE_P(
    Meetings, RandomizedSimulation,
    testing::Combine(
        testing::Values(
            FaultMix{
                .name = "gap", .mass_cancellations = true, .refusal_then_outage = true, .nodes = 5},
            FaultMix{.name = "gap_copies",
                     .duplicate_requests = true,
                     .mass_cancellations = true,
                     .refusal_then_outage = true,
                     .slow_responses = true},
            FaultMix{
                .name = "late_writes", .node_crashes = true, .late_transactions = true, .nodes = 5},
            FaultMix{.name = "late_writes_at_end",
                     .late_transactions = true,
                     .cancellations_at_completion = true,
                     .slow_responses = true},
            FaultMix{.name = "away",
                     .isolated_hosts = true,
                     .duplicate_requests = true,
                     .all_nodes_down = true},
            FaultMix{.name = "leaders",
                     .store_outages = true,
                     .mass_cancellations = true,
                     .leader_crashes = true,
                     .nodes = 5},
            FaultMix{.name = "zones", .node_crashes = true, .zone_partitions = true, .nodes = 5},
            FaultMix{.name = "zones_spot",
                     .spot_preemptions = true,
                     .duplicate_requests = true,
                     .zone_partitions = true},
            FaultMix{.name = "hangs",
                     .node_crashes = true,
                     .machine_hangs = true,
                     .mass_cancellations = true},
            FaultMix{.name = "deaf_leaders",
                     .lost_commands = true,
                     .lost_heartbeats = true,
                     .leader_crashes = true,
                     .nodes = 5},
            FaultMix{.name = "alone_cancels",
                     .isolated_controllers = true,
                     .mass_cancellations = true,
                     .invalid_requests = true,
                     .nodes = 5},
            FaultMix{.name = "full",
                     .submission_burst = true,
                     .duplicate_requests = true,
                     .mass_cancellations = true,
                     .slow_responses = true},
            FaultMix{.name = "at_end_odd",
                     .cancellations_at_completion = true,
                     .invalid_requests = true},
            FaultMix{.name = "all_meetings",
                     .store_outages = true,
                     .isolated_hosts = true,
                     .spot_preemptions = true,
                     .lost_commands = true,
                     .duplicate_requests = true,
                     .isolated_controllers = true,
                     .rapid_crashes = true,
                     .late_transactions = true,
                     .machine_hangs = true,
                     .lost_heartbeats = true,
                     .zone_partitions = true,
                     .mass_cancellations = true,
                     .cancellations_at_completion = true,
                     .invalid_requests = true,
                     .nodes = 5}),
        testing::Values(1, 2)),
    [](const auto& info) {
      return std::string(std::get<0>(info.param).name) + "_" +
             std::to_string(std::get<1>(info.param));
    });

INSTANTIATE_TEST_SUITE_P(
    Days, RandomizedSimulation,
    testing::Combine(
        testing::Values(
            FaultMix{.name = "quiet"}, FaultMix{.name = "crashes", .node_crashes = true},
            FaultMix{.name = "outages", .store_outages = true},
            FaultMix{.name = "cuts", .isolated_hosts = true},
            FaultMix{.name = "spot", .spot_preemptions = true, .failing_machines = true},
            FaultMix{.name = "cloud", .cloud_outages = true},
            FaultMix{.name = "messages",
                     .node_crashes = true,
                     .isolated_hosts = true,
                     .message_loss = true},
            FaultMix{.name = "everything",
                     .node_crashes = true,
                     .store_outages = true,
                     .isolated_hosts = true,
                     .spot_preemptions = true,
                     .failing_machines = true,
                     .cloud_outages = true,
                     .message_loss = true,
                     .submission_burst = true},
            FaultMix{.name = "deaf", .lost_commands = true},
            FaultMix{.name = "copies",
                     .node_crashes = true,
                     .isolated_hosts = true,
                     .spot_preemptions = true,
                     .duplicate_requests = true,
                     .nodes = 5},
            FaultMix{.name = "alone", .isolated_controllers = true, .nodes = 5},
            FaultMix{.name = "flapping", .rapid_crashes = true, .nodes = 5},
            FaultMix{.name = "all_new",
                     .store_outages = true,
                     .isolated_hosts = true,
                     .message_loss = true,
                     .lost_commands = true,
                     .duplicate_requests = true,
                     .isolated_controllers = true,
                     .rapid_crashes = true,
                     .nodes = 5}),
        testing::Values(1, 2, 3)),
    [](const auto& info) {
      return std::string(std::get<0>(info.param).name) + "_" +
             std::to_string(std::get<1>(info.param));
    });

// ---- The checker can fail ----

TEST(Checker, CatchesAStartBesideARunningTask) {
  Scenario scenario(11);
  // Every start order is copied into the next answer to another worker.
  Json stolen;
  std::string from;
  bool done = false;
  scenario.network.alter_response = [&](const std::string&, const HttpRequest& request,
                                        HttpResponse& response) {
    if (done || request.target != "/v1/report" || response.status != 200) return;
    auto out = Json::parse(response.body);
    const auto host = Json::parse(request.body)["host"].get<std::string>();
    // A machine with work of its own would refuse it for want of room.
    const bool empty = Json::parse(request.body)["pieces"].empty() && out["orders"].empty();
    if (!stolen.is_null() && host != from && empty) {
      out["orders"].push_back(stolen);
      response.body = out.dump();
      done = true;
      return;
    }
    for (const auto& c : out["orders"]) {
      if (c["verb"] != "run") continue;
      stolen = c;
      from = host;
    }
  };
  for (int i = 0; i < 6; ++i) {
    Submission job;
    job.requirements.team = "blue";
    job.workload.cpus = 12;
    job.workload.run_s = 100;
    job.workload.image = "img";
    job.workload.image_gb = 0.01;
    scenario.users.submit(job);
  }
  scenario.run_until(200);
  EXPECT_TRUE(scenario.checker.violated("ran_twice")) << scenario.checker.report();
}

TEST(Checker, CatchesDoneBeforeItIsTrue) {
  Scenario scenario(12);
  bool done = false;
  scenario.network.alter_response = [&](const std::string&, const HttpRequest& request,
                                        HttpResponse& response) {
    if (done || request.method != "GET" || request.target.rfind("/v2/runs/", 0) != 0 ||
        response.status != 200)
      return;
    auto out = Json::parse(response.body);
    if (out["stage"] != "running") return;
    out["stage"] = "done";
    response.body = out.dump();
    done = true;
  };
  run_randomized(scenario, {"tampered"}, 200);
  EXPECT_TRUE(scenario.checker.violated("not_done")) << scenario.checker.report();
}

void submit_and_cancel(Scenario& scenario, double run_s, Duration when) {
  Submission job;
  job.requirements.team = "blue";
  job.workload.cpus = 1;
  job.workload.run_s = run_s;
  job.workload.image = "img";
  const auto id = scenario.users.submit(job);
  scenario.simulator.schedule(when, [&scenario, id] { scenario.users.cancel(id); });
}

TEST(Checker, CatchesACancelledTaskLeftRunning) {
  Scenario scenario(13);
  scenario.network.alter_response = [](const std::string&, const HttpRequest& request,
                                       HttpResponse& response) {
    remove_commands(request, response, [](const Json& c) { return c["verb"] == "kill"; });
  };
  drop_direct_commands(scenario.network);
  submit_and_cancel(scenario, 200, 40s);
  scenario.run_until(150);
  EXPECT_TRUE(scenario.checker.violated("ran_cancelled")) << scenario.checker.report();
}

TEST(Checker, CatchesAForgottenJob) {
  Scenario scenario(14);
  scenario.network.alter_response = [](const std::string&, const HttpRequest& request,
                                       HttpResponse& response) {
    if (request.method == "GET" && request.target.rfind("/v2/runs/", 0) == 0 &&
        response.status == 200)
      response.status = 404;
  };
  run_randomized(scenario, {"tampered"}, 60);
  EXPECT_TRUE(scenario.checker.violated("forgotten")) << scenario.checker.report();
}

TEST(Checker, CatchesACancelledJobCalledQueuedAgain) {
  Scenario scenario(15);
  scenario.network.alter_response = [&](const std::string&, const HttpRequest& request,
                                        HttpResponse& response) {
    auto out = Json::parse(response.body, nullptr, false);
    if (!out.is_object() || out.value("stage", "") != "withdrawn") return;
    if (request.method == "POST") return;
    out["stage"] = "queued";
    response.body = out.dump();
  };
  submit_and_cancel(scenario, 100, 10s);
  scenario.run_until(60);
  EXPECT_TRUE(scenario.checker.violated("went_back")) << scenario.checker.report();
}

TEST(RandomRuns, RepeatBySeed) {
  const auto once = [](std::uint64_t seed) {
    Scenario scenario(seed);
    run_randomized(scenario,
                   {.name = "everything",
                    .node_crashes = true,
                    .store_outages = true,
                    .isolated_hosts = true,
                    .spot_preemptions = true,
                    .failing_machines = true,
                    .cloud_outages = true,
                    .message_loss = true,
                    .submission_burst = true},
                   120);
    return std::tuple(scenario.checker.starts, scenario.checker.completed_tasks,
                      scenario.store.writes, scenario.simulator.next_random());
  };
  EXPECT_EQ(once(5), once(5));
  EXPECT_NE(once(5), once(6));
}

}  // namespace
