// Tests of provisioning with one kind of fault at a time: clock drift, failover, faults of the
// state service and faults of the cloud.

#include <gtest/gtest.h>

#include <sstream>

#include "provisioning_fixture.hpp"
#include "sim/traffic.hpp"

namespace {

using namespace test_support;

// ---- Clocks ----

class HolderClockDrift : public testing::TestWithParam<double> {};

// The drift of the holder's clock is within the bound (kClockDrift) or far beyond it. A holder that
// takes its lease for valid too long can begin no operation, because its writes carry the fencing
// token. It only repeats requests that are in the operation log.
TEST_P(HolderClockDrift, LosesNoJobAndNoMachine) {
  Scenario scenario(81);
  scenario.cloud.checks_tokens = true;
  std::vector<std::string> jobs{scenario.users.submit(array_job(8, 20))};
  int holder = -1;
  // When the cloud first answers a rental, the speed of the holder's clock changes, and the holder
  // is isolated from its peers and the state service.
  scenario.network.on_answered = [&](const std::string& from, const std::string&,
                                     const HttpRequest& request) {
    if (holder >= 0 || !is_rental(request)) return;
    for (int i = 0; i < scenario.node_count(); ++i)
      holder = scenario.node_name(i) == from ? i : holder;
    scenario.process(holder).runtime->set_clock_speed(GetParam());
    scenario.set_control_plane_drop(holder, true);
  };
  scenario.simulator.schedule(120s, [&] { scenario.set_control_plane_drop(holder, false); });
  scenario.simulator.schedule(140s,
                              [&] { jobs.push_back(scenario.users.submit(array_job(8, 20))); });
  expect_clean_end(scenario, jobs, 400);
  ASSERT_GE(holder, 0);
}

INSTANTIATE_TEST_SUITE_P(Provisioning, HolderClockDrift,
                         testing::Values(0.05, 0.9995, 1.0005, 3.0));

// ---- Failover ----

// All rentals are lost on the way to the cloud, and two holders crash in turn while an operation is
// Pending. The third holder must complete it under the name that the first one gave it.
TEST(ProvisioningFailover, CompletesAPendingOperationUnderItsName) {
  Scenario scenario(82);
  const auto job = scenario.users.submit(array_job(8, 20));
  bool drop_rentals = true;
  scenario.network.drop_request = [&](const std::string&, const std::string&,
                                      const HttpRequest& request) {
    return drop_rentals && is_rental(request);
  };
  scenario.run_until(12);
  const std::string pending = operations_in_state(scenario, "intended");
  ASSERT_NE(pending, "");
  scenario.crash(scenario.leader(), 60);
  scenario.run_until(45);
  ASSERT_GE(scenario.leader(), 0);
  EXPECT_EQ(operations_in_state(scenario, "intended"), pending) << "a new operation was begun";
  scenario.crash(scenario.leader(), 60);
  scenario.run_until(80);
  EXPECT_EQ(operations_in_state(scenario, "intended"), pending);
  EXPECT_TRUE(scenario.cloud.requests.rentals.empty());
  drop_rentals = false;
  scenario.run_until(120);
  std::istringstream keys(pending);
  for (std::string key; keys >> key;) {
    const auto name = key.substr(std::string_view(kOperationPrefix).size());
    EXPECT_EQ(scenario.cloud.requests.rentals.count(name), 1U) << name << " was not completed";
  }
  expect_clean_end(scenario, {job}, 400);
}

// The leader crashes while the return of a machine is Pending. The new leader must give the machine
// no work, although it sends heartbeats and has room.
TEST(ProvisioningFailover, GivesNoWorkToAMachineWithAPendingReturn) {
  Scenario scenario(83);
  const auto first = scenario.users.submit(array_job(4, 10));
  bool drop_returns = true;
  scenario.network.drop_request = [&](const std::string&, const std::string&,
                                      const HttpRequest& request) {
    return drop_returns && request.target == "/machines/return";
  };
  const auto returning_now = [&] {
    return operations_in_state(scenario, "intended").find("/d-") != std::string::npos;
  };
  for (double t = 1; !returning_now() && t < 120; t += 0.5) scenario.run_until(t);
  std::set<std::string> returning;
  for (const auto& [key, value] : scenario.store.records()) {
    if (!key.starts_with(kOperationPrefix) || value.first.value("state", "") != "intended")
      continue;
    for (const auto& [machine, reason] : value.first["machines"].items()) returning.insert(machine);
  }
  ASSERT_FALSE(returning.empty());
  scenario.crash(scenario.leader(), 0.3);
  std::size_t started = 0;
  scenario.network.alter_response = [&](const std::string&, const HttpRequest& request,
                                        HttpResponse& response) {
    if (!is_accepted_heartbeat(request, response)) return;
    if (returning.count(Json::parse(request.body)["host"].get<std::string>()) == 0) return;
    const auto answer = Json::parse(response.body);
    for (const auto& command : answer["orders"]) started += command["verb"] == "run" ? 1 : 0;
  };
  // More tasks than the machines have room for.
  const auto second = scenario.users.submit(array_job(60, 20));
  scenario.run_until(scenario.simulator.elapsed() + 60);
  EXPECT_EQ(started, 0U);
  drop_returns = false;
  scenario.network.alter_response = nullptr;
  expect_clean_end(scenario, {first, second}, scenario.simulator.elapsed() + 300);
}

// ---- State service ----

// The state service does not answer the holder for 90 s. Another node must take over.
TEST(ProvisioningStoreFault, MovesProvisioningFromAnIsolatedHolder) {
  Scenario scenario(84);
  std::vector<std::string> jobs{scenario.users.submit(array_job(8, 20))};
  scenario.run_until(10);
  const int holder = scenario.leader();
  scenario.network.set_unavailable(scenario.node_name(holder), "state", true);
  scenario.simulator.schedule(
      100s, [&] { scenario.network.set_unavailable(scenario.node_name(holder), "state", false); });
  scenario.simulator.schedule(30s,
                              [&] { jobs.push_back(scenario.users.submit(array_job(8, 20))); });
  scenario.run_until(40);
  EXPECT_NE(scenario.leader(holder), -1);
  expect_clean_end(scenario, jobs, 400);
}

// The state service goes down for 15 s when the cloud answers a rental, so the result is not stored
// at once. The granted machines must be used nevertheless, and none may be lost.
TEST(ProvisioningStoreFault, UsesMachinesBeforeTheResultIsStored) {
  Scenario scenario(85);
  const auto job = scenario.users.submit(array_job(8, 20));
  bool outage_started = false;
  scenario.network.on_answered = [&](const std::string&, const std::string&,
                                     const HttpRequest& request) {
    if (outage_started || !is_rental(request)) return;
    outage_started = true;
    scenario.store.set_outage(true);
    scenario.simulator.schedule(15s, [&] { scenario.store.set_outage(false); });
  };
  expect_clean_end(scenario, {job}, 400);
  EXPECT_TRUE(outage_started);
}

// The write of a Pending record is not answered, and is executed only after the operation has been
// completed. It must not create the operation again.
TEST(ProvisioningStoreFault, RejectsALateWriteOfAPendingRecord) {
  Scenario scenario(86);
  const auto job = scenario.users.submit(array_job(8, 20));
  std::size_t log_writes = 0;
  scenario.network.delay_request = [&](const std::string&, const std::string&,
                                       const HttpRequest& request) {
    return writes_operation_log(request) && log_writes++ < 2 ? 200.0 : 0.0;
  };
  expect_clean_end(scenario, {job}, 400);
  EXPECT_GE(log_writes, 2U);
  for (const auto& [name, count] : scenario.cloud.requests.rentals) EXPECT_EQ(count, 1U) << name;
  EXPECT_NE(operations_in_state(scenario, "settled"), "")
      << "the record that makes the late write fail was removed";
  // Under a new token the late write fails on its guards, so the record is removed.
  scenario.crash(scenario.leader(), 0.3);
  scenario.run_until(480);
  EXPECT_EQ(operations_in_state(scenario, "settled"), "");
}

// ---- Cloud ----

// The cloud refuses a rental, and 60 s later grants a duplicate of the same request. The granted
// machines are orphaned and must be returned.
TEST(CloudFault, ReturnsAMachineGrantedAfterARefusal) {
  Scenario scenario(87);
  const auto job = scenario.users.submit(array_job(8, 20));
  scenario.cloud.capacity_refusals = 1;
  HttpRequest refused;
  scenario.network.on_answered = [&](const std::string&, const std::string& address,
                                     const HttpRequest& request) {
    if (!refused.body.empty() || !is_rental(request)) return;
    refused = request;
    scenario.simulator.schedule(60s, [&scenario, address, refused] {
      scenario.network.http("copies", address, refused, 4s, [](const HttpResponse&) {});
    });
  };
  scenario.run_until(120);
  ASSERT_FALSE(refused.body.empty());
  const auto orphans = scenario.store.records().find(kOrphansKey);
  ASSERT_NE(orphans, scenario.store.records().end());
  EXPECT_FALSE(decode_orphans(orphans->second.first).empty());
  expect_clean_end(scenario, {job}, 400);
}

// The cloud grants fewer machines than requested, is down for 14 s, and its list of machines lags.
TEST(CloudFault, LosesNothingToPartialFillsOutagesAndStaleLists) {
  Scenario scenario(88);
  scenario.cloud.rental_limit = 1;
  std::vector<std::string> jobs{scenario.users.submit(array_job(24, 20))};
  scenario.simulator.schedule(6s, [&] { scenario.cloud.outage = true; });
  scenario.simulator.schedule(20s, [&] { scenario.cloud.outage = false; });
  for (int i = 0; i < 20; ++i) {
    scenario.simulator.schedule(
        Seconds(20 + i * 7), [&scenario, i] { scenario.cloud.list_lag_s = i % 2 == 0 ? 14 : 0; });
  }
  scenario.simulator.schedule(60s,
                              [&] { jobs.push_back(scenario.users.submit(array_job(24, 20))); });
  expect_clean_end(scenario, jobs, 500);
}

// The first responses to rentals and returns are replaced by malformed ones or errors, although the
// requests were executed. No machine may be lost or returned twice.
TEST(CloudFault, TreatsMalformedResponsesAsNone) {
  Scenario scenario(89);
  const auto job = scenario.users.submit(array_job(8, 20));
  std::size_t altered_responses = 0;
  scenario.network.alter_response = [&](const std::string&, const HttpRequest& request,
                                        HttpResponse& response) {
    const bool rents_or_returns = is_rental(request) || request.target == "/machines/return";
    if (!rents_or_returns || altered_responses >= 12) return;
    constexpr std::array kBodies{"", "{", "[]", R"({"hosts":7})"};
    response = ++altered_responses % 3 == 0
                   ? HttpResponse{429, "{}"}
                   : HttpResponse{200, kBodies.at(altered_responses % kBodies.size())};
    if (request.target == "/machines/return") response.status = 500;
  };
  expect_clean_end(scenario, {job}, 500);
  EXPECT_EQ(altered_responses, 12U);
}

}  // namespace
