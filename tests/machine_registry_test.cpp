// The machine registry: whatever earlier leaders and earlier versions have stored, a new leader
// must not start a task while it may run on a machine that cannot be reached.

#include <gtest/gtest.h>

#include <algorithm>

#include "sim/scenario.hpp"
#include "sim/traffic.hpp"
#include "store/records.hpp"

namespace {

using namespace sim;

// Workers whose leases last longer than a failover and a boot.
constexpr Timing kLongLease{.report_s = 3, .lease_s = 20, .cancel_s = 40};

std::map<std::string, std::pair<Json, std::uint64_t>> registry_records(const Scenario& scenario) {
  std::map<std::string, std::pair<Json, std::uint64_t>> records;
  for (const auto& [key, record] : scenario.store.records()) {
    if (key.starts_with(store::kMachineRegistryPrefix)) records[key] = record;
  }
  return records;
}

std::set<std::string> registered_machines(const Scenario& scenario) {
  std::set<std::string> machines;
  for (const auto& [key, record] : registry_records(scenario)) {
    for (const auto& name : record.first.value("machines", Json::array())) machines.insert(name);
  }
  return machines;
}

std::vector<std::string> busy_machines(const Scenario& scenario) {
  std::vector<std::string> machines;
  for (const auto& worker : scenario.cloud.running_workers()) {
    if (worker->has_live_tasks()) machines.push_back(worker->id);
  }
  return machines;
}

// A busy machine, if there is one a machine that the registry does not list.
std::string victim_of(const Scenario& scenario) {
  const auto busy = busy_machines(scenario);
  const auto registered = registered_machines(scenario);
  const auto forgotten = std::find_if(busy.begin(), busy.end(), [&](const std::string& machine) {
    return registered.count(machine) == 0;
  });
  return forgotten == busy.end() ? busy.front() : *forgotten;
}

// A machine in the registry record that was written last.
std::string machine_in_newest_record(const Scenario& scenario) {
  std::string machine;
  std::uint64_t newest = 0;
  for (const auto& [key, record] : registry_records(scenario)) {
    const auto& [value, version] = record;
    if (version < newest || value.at("machines").empty()) continue;
    newest = version;
    machine = value.at("machines").front();
  }
  return machine;
}

void expect_all_busy_machines_registered(const Scenario& scenario) {
  const auto registered = registered_machines(scenario);
  for (const auto& machine : busy_machines(scenario)) {
    EXPECT_EQ(registered.count(machine), 1U) << machine << " has tasks and is not registered";
  }
}

// Writes the registry as a version that takes a record's position for its number has left it with
// eleven records: roster/2 holds the names of roster/10, and those of roster/2 are lost.
void store_mixed_up_registry(Scenario& scenario, const std::string& lost_machine) {
  auto machines = registered_machines(scenario);
  machines.erase(lost_machine);
  for (std::size_t number = 0; number <= 10; ++number) {
    Json names = Json::array();
    if (number == 0) names = machines;
    scenario.store.overwrite(store::machine_registry_key(number), {{"machines", names}});
  }
}

bool has_numbered_records(const Scenario& scenario) {
  const auto records = registry_records(scenario);
  return std::any_of(records.begin(), records.end(), [](const auto& entry) {
    return store::parse_machine_registry_key(entry.first).has_value();
  });
}

// A job of 13 tasks on four machines, which leaves room to start three of them a second time.
struct BusyDeployment {
  Scenario scenario;
  std::string job;
  std::string victim;

  explicit BusyDeployment(std::uint64_t seed) : scenario(seed, 3, 3, kLongLease) {
    job = scenario.users.submit(array_job(13, 120));
    scenario.run_until(40);
    if (scenario.checker.tasks_present(job) == 13) victim = victim_of(scenario);
  }

  // The leader crashes while the victim is isolated, for less than a lease.
  void crash_leader_without_victim() {
    scenario.network.isolate(victim);
    scenario.crash(scenario.leader(), 0.2);
    scenario.run_until(55);
    scenario.network.reconnect(victim);
  }
};

// From eleven records on, the second leader wrote the content of roster/10 over roster/2, because
// it took a record's position in key order for its number. The third leader did not wait for the
// machines that were lost from the registry, and started their tasks elsewhere. Guard:
// MachineRegistry identifies records by their keys.
TEST(MachineRegistry, KeepsEachMachineWhenLeadersChangeWithElevenRecords) {
  constexpr double kValueKb = 1;  // 25 names in a record
  Scenario scenario(91, 24, 3, kLongLease, {true}, kValueKb);
  // The last job ends before the second failover, and leaves room to start tasks a second time.
  for (const double run_s : {600, 600, 60}) scenario.users.submit(spot_array_job(270, run_s));
  scenario.run_until(50);
  ASSERT_GE(registry_records(scenario).size(), 11U);
  expect_all_busy_machines_registered(scenario);

  scenario.crash(scenario.leader(), 0.5);
  scenario.run_until(60);
  // The second leader has to write the record that lists the machine.
  scenario.cloud.reclaim(machine_in_newest_record(scenario));
  scenario.run_until(90);
  expect_all_busy_machines_registered(scenario);

  scenario.network.isolate(victim_of(scenario));
  ASSERT_GE(scenario.leader(), 0);
  scenario.crash(scenario.leader(), 0.5);
  scenario.run_until(180);
  EXPECT_TRUE(scenario.checker.violations.empty()) << scenario.checker.report();
  expect_all_busy_machines_registered(scenario);
  EXPECT_FALSE(has_numbered_records(scenario))
      << "an earlier version would write one record over another";
}

// An earlier version has lost a machine from the registry, and nothing shows which one. The next
// leader must start no task of its predecessors before all their leases have expired. Afterwards
// the registry must list all machines in records that no version mixes up. Guard:
// MachineRegistry::complete.
TEST(MachineRegistry, IsNotTrustedAfterAnEarlierVersionMixedItUp) {
  for (const std::uint64_t seed : {92, 93, 94}) {
    BusyDeployment deployment(seed);
    auto& scenario = deployment.scenario;
    ASSERT_FALSE(deployment.victim.empty());
    store_mixed_up_registry(scenario, deployment.victim);
    deployment.crash_leader_without_victim();
    EXPECT_TRUE(scenario.checker.violations.empty()) << "seed " << seed << "\n"
                                                     << scenario.checker.report();
    scenario.run_until(80);
    expect_all_busy_machines_registered(scenario);
    EXPECT_FALSE(has_numbered_records(scenario)) << "seed " << seed;
    scenario.run_until(300);
    EXPECT_EQ(scenario.checker.final_stage(deployment.job), "done") << "seed " << seed;
    EXPECT_TRUE(scenario.checker.violations.empty()) << "seed " << seed << "\n"
                                                     << scenario.checker.report();
  }
}

// As above, but the lost machine gets one response of the new leader late in its lease, and nothing
// afterwards. That response renews its lease beyond those that earlier leaders renewed. Guard:
// TermRecovery::on_unlisted_machine.
TEST(MachineRegistry, ReconciliationAwaitsUnlistedMachinesThatHaveSentAHeartbeat) {
  BusyDeployment deployment(95);
  auto& scenario = deployment.scenario;
  const auto& victim = deployment.victim;
  ASSERT_FALSE(victim.empty());
  store_mixed_up_registry(scenario, victim);
  scenario.network.isolate(victim);
  scenario.crash(scenario.leader(), 0.2);
  scenario.run_until(52);
  // Heartbeats from before are delivered late, and their responses renew nothing.
  std::set<std::string> new_heartbeats;
  scenario.network.on_request = [&](const std::string& from, const std::string&,
                                    const HttpRequest& request) {
    if (from == victim && request.target == "/v1/report") new_heartbeats.insert(request.body);
  };
  bool renewed = false;
  scenario.network.alter_response = [&](const std::string&, const HttpRequest& request,
                                        HttpResponse& response) {
    if (renewed || !is_accepted_heartbeat(request, response)) return;
    if (new_heartbeats.count(request.body) == 0) return;
    renewed = true;
    scenario.simulator.schedule(100ms, [&] { scenario.network.isolate(victim); });
  };
  scenario.network.reconnect(victim);
  scenario.run_until(150);
  EXPECT_TRUE(renewed);
  EXPECT_TRUE(scenario.checker.violations.empty()) << scenario.checker.report();
  scenario.network.reconnect(victim);
  scenario.run_until(400);
  EXPECT_EQ(scenario.checker.final_stage(deployment.job), "done");
  EXPECT_TRUE(scenario.checker.violations.empty()) << scenario.checker.report();
}

// A record that could not be decoded was taken for an empty one and overwritten, and no leader
// waited for the machines in it. It may be of a newer version. It must be kept, and be reckoned
// with. Guard: MachineRegistry::Record::State::Unreadable.
TEST(MachineRegistry, KeepsARecordThatItCannotRead) {
  const std::vector<Json> values{{{"machines", 7}},
                                 {{"machines", Json::array({"n-000001", 7})}},
                                 {{"form", 2}, {"machines", Json::array()}},
                                 "n-000001"};
  for (const auto& value : values) {
    BusyDeployment deployment(96);
    auto& scenario = deployment.scenario;
    ASSERT_FALSE(deployment.victim.empty());
    const auto key = store::machine_registry_key(0);
    scenario.store.overwrite(key, value);
    deployment.crash_leader_without_victim();
    EXPECT_TRUE(scenario.checker.violations.empty()) << value << "\n" << scenario.checker.report();
    scenario.run_until(80);
    EXPECT_EQ(registry_records(scenario).at(key).first, value);
    scenario.run_until(300);
    EXPECT_EQ(registry_records(scenario).at(key).first, value);
    EXPECT_EQ(scenario.checker.final_stage(deployment.job), "done") << value;
    EXPECT_TRUE(scenario.checker.violations.empty()) << value << "\n" << scenario.checker.report();
  }
}

// Versions that take a record's position for its number must find a small registry as they left it,
// and must not write over the records of a large one.
TEST(MachineRegistryKeys, KeepThePositionsThatEarlierVersionsExpect) {
  std::vector<std::string> numbered;
  for (std::size_t number = 0; number < store::kMaxNumberedRegistryRecords; ++number) {
    numbered.push_back(store::machine_registry_key(number));
    EXPECT_EQ(store::parse_machine_registry_key(numbered.back()), number);
    const auto fixed_width = store::fixed_width_machine_registry_key(number);
    EXPECT_FALSE(store::parse_machine_registry_key(fixed_width)) << fixed_width;
    EXPECT_LT(fixed_width, numbered.front()) << "it would shift the positions of numbered records";
  }
  EXPECT_TRUE(std::is_sorted(numbered.begin(), numbered.end()));
  EXPECT_FALSE(store::parse_machine_registry_key("roster/"));
  EXPECT_FALSE(store::parse_machine_registry_key("roster/02"));
  EXPECT_FALSE(store::parse_machine_registry_key("roster/2a"));
  EXPECT_FALSE(store::parse_machine_registry_key("progress/2"));
}

}  // namespace
