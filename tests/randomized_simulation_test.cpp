// Randomized simulations of complete deployments. Jobs are submitted and faults are injected at
// random from a seed, and the rule checker checks the run after each event. They guard against
// violations of PROTOCOL, lost jobs and jobs that never end, as combinations of faults can cause
// them.

#include <gtest/gtest.h>

#include <cstdlib>

#include "base/log.hpp"
#include "sim/fault_injection.hpp"

namespace {

using namespace sim;

const bool kLogLevelIsSet = [] {
  spdlog::set_level(std::getenv("ASTERSTAIR_TEST_LOG") != nullptr ? spdlog::level::debug
                                                                  : spdlog::level::off);
  return true;
}();

class RandomizedSimulation : public testing::TestWithParam<std::tuple<FaultMix, int>> {};

TEST_P(RandomizedSimulation, KeepsTheRulesAndFinishesTheJobs) {
  const auto& [faults, seed] = GetParam();
  Scenario scenario(static_cast<std::uint64_t>(seed), 3, faults.nodes);
  run_randomized(scenario, faults, 300);
  // Without faults, every accepted job must become final.
  end_all_faults(scenario);
  // Crashes and hangs that are active now end by themselves: short ones within 10 s, long ones,
  // which these kinds of faults cause, within 30 s.
  const bool has_long_faults = faults.machine_hangs || faults.mass_cancellations ||
                               faults.all_nodes_down || faults.leader_crashes;
  scenario.simulator.schedule(has_long_faults ? 30s : 10s,
                              [&scenario] { scenario.checker.on_faults_over(); });
  scenario.run_until(1500);
  scenario.checker.check_service([](const std::string&) { return false; });
  EXPECT_TRUE(scenario.checker.violations.empty()) << "seed " << seed << "\n"
                                                   << scenario.checker.report();
  EXPECT_GT(scenario.checker.completed_tasks, 50U) << "seed " << seed;
  unsigned unfinished = 0;
  std::string unfinished_ids;
  for (const auto& id : scenario.users.job_ids()) {
    if (scenario.checker.is_accepted(id) && !scenario.checker.is_final(id)) {
      ++unfinished;
      unfinished_ids += id + " ";
    }
  }
  EXPECT_EQ(unfinished, 0U) << "seed " << seed << ": " << unfinished_ids;
}

std::string parameter_name(const testing::TestParamInfo<std::tuple<FaultMix, int>>& info) {
  return std::string(std::get<0>(info.param).name) + "_" + std::to_string(std::get<1>(info.param));
}

const FaultMix kZonePartitionsWithCrashes{.name = "zone_partitions_with_crashes",
                                          .node_crashes = true,
                                          .zone_partitions = true,
                                          .nodes = 5};
const FaultMix kZonePartitionsWithSpotPreemptions{.name = "zone_partitions_with_spot_preemptions",
                                                  .spot_preemptions = true,
                                                  .duplicate_requests = true,
                                                  .zone_partitions = true};

// Combinations of two or more faults, as in the documentation for operators.
INSTANTIATE_TEST_SUITE_P(
    CompoundFaults, RandomizedSimulation,
    testing::Combine(testing::Values(FaultMix{.name = "refusal_then_outage",
                                              .mass_cancellations = true,
                                              .refusal_then_outage = true,
                                              .nodes = 5},
                                     FaultMix{.name = "refusal_then_outage_with_duplicates",
                                              .duplicate_requests = true,
                                              .mass_cancellations = true,
                                              .refusal_then_outage = true,
                                              .slow_responses = true},
                                     FaultMix{.name = "late_transactions_with_crashes",
                                              .node_crashes = true,
                                              .late_transactions = true,
                                              .nodes = 5},
                                     FaultMix{.name = "late_transactions_at_completion",
                                              .late_transactions = true,
                                              .cancellations_at_completion = true,
                                              .slow_responses = true},
                                     FaultMix{.name = "all_nodes_down",
                                              .isolated_hosts = true,
                                              .duplicate_requests = true,
                                              .all_nodes_down = true},
                                     FaultMix{.name = "leader_crashes_with_store_outages",
                                              .store_outages = true,
                                              .mass_cancellations = true,
                                              .leader_crashes = true,
                                              .nodes = 5},
                                     kZonePartitionsWithCrashes, kZonePartitionsWithSpotPreemptions,
                                     FaultMix{.name = "machine_hangs_with_crashes",
                                              .node_crashes = true,
                                              .machine_hangs = true,
                                              .mass_cancellations = true},
                                     FaultMix{.name = "lost_commands_with_leader_crashes",
                                              .lost_commands = true,
                                              .lost_heartbeats = true,
                                              .leader_crashes = true,
                                              .nodes = 5},
                                     FaultMix{.name = "isolated_controllers_with_cancellations",
                                              .isolated_controllers = true,
                                              .mass_cancellations = true,
                                              .invalid_requests = true,
                                              .nodes = 5},
                                     FaultMix{.name = "submission_burst_with_cancellations",
                                              .submission_burst = true,
                                              .duplicate_requests = true,
                                              .mass_cancellations = true,
                                              .slow_responses = true},
                                     FaultMix{.name = "invalid_requests_at_completion",
                                              .cancellations_at_completion = true,
                                              .invalid_requests = true},
                                     FaultMix{.name = "most_faults",
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
    parameter_name);

INSTANTIATE_TEST_SUITE_P(
    Faults, RandomizedSimulation,
    testing::Combine(
        testing::Values(
            FaultMix{.name = "no_faults"}, FaultMix{.name = "node_crashes", .node_crashes = true},
            FaultMix{.name = "store_outages", .store_outages = true},
            FaultMix{.name = "isolated_hosts", .isolated_hosts = true},
            FaultMix{
                .name = "spot_preemptions", .spot_preemptions = true, .failing_machines = true},
            FaultMix{.name = "cloud_outages", .cloud_outages = true},
            FaultMix{.name = "message_loss",
                     .node_crashes = true,
                     .isolated_hosts = true,
                     .message_loss = true},
            FaultMix{.name = "infrastructure_faults",
                     .node_crashes = true,
                     .store_outages = true,
                     .isolated_hosts = true,
                     .spot_preemptions = true,
                     .failing_machines = true,
                     .cloud_outages = true,
                     .message_loss = true,
                     .submission_burst = true},
            FaultMix{.name = "lost_commands", .lost_commands = true},
            FaultMix{.name = "duplicate_requests",
                     .node_crashes = true,
                     .isolated_hosts = true,
                     .spot_preemptions = true,
                     .duplicate_requests = true,
                     .nodes = 5},
            FaultMix{.name = "isolated_controllers", .isolated_controllers = true, .nodes = 5},
            FaultMix{.name = "rapid_crashes", .rapid_crashes = true, .nodes = 5},
            FaultMix{.name = "control_plane_faults",
                     .store_outages = true,
                     .isolated_hosts = true,
                     .message_loss = true,
                     .lost_commands = true,
                     .duplicate_requests = true,
                     .isolated_controllers = true,
                     .rapid_crashes = true,
                     .nodes = 5}),
        testing::Values(1, 2, 3)),
    parameter_name);

// Seeds with which a deposed leader started tasks that ran under its successor (review/4).
INSTANTIATE_TEST_SUITE_P(DeposedLeaders, RandomizedSimulation,
                         testing::Values(std::tuple(kZonePartitionsWithCrashes, 2034),
                                         std::tuple(kZonePartitionsWithSpotPreemptions, 1006)),
                         parameter_name);

// Guards against state that does not follow from the seed, such as iteration by address: a failure
// could then not be reproduced.
TEST(RunRandomized, RepeatsBySeed) {
  const auto run_with = [](std::uint64_t seed) {
    Scenario scenario(seed);
    run_randomized(scenario,
                   {.name = "infrastructure_faults",
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
  EXPECT_EQ(run_with(5), run_with(5));
  EXPECT_NE(run_with(5), run_with(6));
}

}  // namespace
