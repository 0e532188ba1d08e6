// Randomized simulations of whole deployments from seeds, with the rules checked after each event.

#include <gtest/gtest.h>

#include <cstdlib>

#include "base/log.hpp"
#include "sim/fault_injection.hpp"

namespace {

using namespace sim;

const bool kQuiet = [] {
  spdlog::set_level(std::getenv("ASTERSTAIR_TEST_LOG") != nullptr ? spdlog::level::debug
                                                                  : spdlog::level::off);
  return true;
}();

class RandomizedSimulation : public testing::TestWithParam<std::tuple<FaultMix, int>> {};

TEST_P(RandomizedSimulation, KeepsTheRulesAndFinishesTheJobs) {
  const auto& [faults, seed] = GetParam();
  Scenario scenario(static_cast<std::uint64_t>(seed), 3, faults.nodes);
  run_randomized(scenario, faults, 300);
  // Without faults, whatever was accepted becomes final.
  end_all_faults(scenario);
  // Nodes that have just crashed restart within seconds, or within a lease and some seconds;
  // machines that hang go on as soon.
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

std::string parameter_name(const testing::TestParamInfo<std::tuple<FaultMix, int>>& info) {
  return std::string(std::get<0>(info.param).name) + "_" + std::to_string(std::get<1>(info.param));
}

// Two faults and more at a time, as the operators' page names them.
INSTANTIATE_TEST_SUITE_P(
    CompoundFaults, RandomizedSimulation,
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
    parameter_name);

INSTANTIATE_TEST_SUITE_P(
    Faults, RandomizedSimulation,
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
    parameter_name);

TEST(RunRandomized, RepeatsBySeed) {
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
