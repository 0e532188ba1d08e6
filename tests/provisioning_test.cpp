// Provisioning during faults, one at a time: clocks, failover, the state service and the cloud.

#include <gtest/gtest.h>

#include <sstream>

#include "provisioning_fixture.hpp"
#include "sim/traffic.hpp"

namespace {

using namespace test_support;

// ---- Clocks ----

class HolderClockDrift : public testing::TestWithParam<double> {};

// Within the bound and far beyond it: a holder that counts its lease too long can begin nothing,
// since its writes carry the fencing token, and it repeats only what stands in the operation log.
TEST_P(HolderClockDrift, DoesNoHarm) {
  Scenario scenario(81);
  scenario.cloud.checks_tokens = true;
  std::vector<std::string> jobs{scenario.users.submit(array_job(8, 20))};
  int holder = -1;
  // At its first answer from the cloud the holder's clock changes, and it is isolated from its
  // peers and the state service.
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

// The cloud is down while the operation is open, and two holders end: the third completes it under
// the name that the first gave it.
TEST(ProvisioningFailover, CompletesAnOpenOperationUnderItsName) {
  Scenario scenario(82);
  const auto job = scenario.users.submit(array_job(8, 20));
  bool swallow = true;
  scenario.network.drop_request = [&](const std::string&, const std::string&,
                                      const HttpRequest& request) {
    return swallow && is_rental(request);
  };
  scenario.run_until(12);
  const std::string open = operations_in(scenario, "intended");
  ASSERT_NE(open, "");
  scenario.crash(scenario.leader(), 60);
  scenario.run_until(45);
  ASSERT_GE(scenario.leader(), 0);
  EXPECT_EQ(operations_in(scenario, "intended"), open) << "something new was begun";
  scenario.crash(scenario.leader(), 60);
  scenario.run_until(80);
  EXPECT_EQ(operations_in(scenario, "intended"), open);
  EXPECT_TRUE(scenario.cloud.requests.rentals.empty());
  swallow = false;
  scenario.run_until(120);
  std::istringstream names(open);
  for (std::string key; names >> key;) {
    const auto name = key.substr(std::string_view(kOperationPrefix).size());
    EXPECT_EQ(scenario.cloud.requests.rentals.count(name), 1U) << name << " was not completed";
  }
  expect_clean_end(scenario, {job}, 400);
}

// A machine that an earlier leader was returning gets no work, although it sends heartbeats and has
// room.
TEST(ProvisioningFailover, GivesNoWorkToAMachineWithAnOpenReturn) {
  Scenario scenario(83);
  const auto first = scenario.users.submit(array_job(4, 10));
  bool hold = true;
  scenario.network.drop_request = [&](const std::string&, const std::string&,
                                      const HttpRequest& request) {
    return hold && request.target == "/machines/return";
  };
  const auto returning_now = [&] {
    return operations_in(scenario, "intended").find("/d-") != std::string::npos;
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
  // More than all machines hold.
  const auto second = scenario.users.submit(array_job(60, 20));
  scenario.run_until(scenario.simulator.elapsed() + 60);
  EXPECT_EQ(started, 0U);
  hold = false;
  scenario.network.alter_response = nullptr;
  expect_clean_end(scenario, {first, second}, scenario.simulator.elapsed() + 300);
}

// ---- State service ----

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

// The result of a rental cannot be recorded for a while. Its machines are used all the same.
TEST(ProvisioningStoreFault, LosesNothingBetweenIntentAndResult) {
  Scenario scenario(85);
  const auto job = scenario.users.submit(array_job(8, 20));
  bool once = false;
  scenario.network.on_answered = [&](const std::string&, const std::string&,
                                     const HttpRequest& request) {
    if (once || !is_rental(request)) return;
    once = true;
    scenario.store.set_outage(true);
    scenario.simulator.schedule(15s, [&] { scenario.store.set_outage(false); });
  };
  expect_clean_end(scenario, {job}, 400);
  EXPECT_TRUE(once);
}

// An intent is written without an answer, and applied after the operation is over: it stays over.
TEST(ProvisioningStoreFault, RevivesNothingByALateIntent) {
  Scenario scenario(86);
  const auto job = scenario.users.submit(array_job(8, 20));
  std::size_t late = 0;
  scenario.network.delay_request = [&](const std::string&, const std::string&,
                                       const HttpRequest& request) {
    return writes_operation_log(request) && late++ < 2 ? 200.0 : 0.0;
  };
  expect_clean_end(scenario, {job}, 400);
  EXPECT_GE(late, 2U);
  for (const auto& [name, asked] : scenario.cloud.requests.rentals) EXPECT_EQ(asked, 1U) << name;
  EXPECT_NE(operations_in(scenario, "settled"), "")
      << "the record that lets the late copy fail is gone";
  // Under a new token late copies fail by themselves, so the record is removed.
  scenario.crash(scenario.leader(), 0.3);
  scenario.run_until(480);
  EXPECT_EQ(operations_in(scenario, "settled"), "");
}

// ---- Cloud ----

// A rental is refused, and granted by a late copy of the same request: its machines are orphaned.
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

TEST(CloudFault, TreatsMalformedResponsesAsNone) {
  Scenario scenario(89);
  const auto job = scenario.users.submit(array_job(8, 20));
  std::size_t spoilt = 0;
  scenario.network.alter_response = [&](const std::string&, const HttpRequest& request,
                                        HttpResponse& response) {
    const bool order = is_rental(request) || request.target == "/machines/return";
    if (!order || spoilt >= 12) return;
    constexpr std::array kBodies{"", "{", "[]", R"({"hosts":7})"};
    response = ++spoilt % 3 == 0 ? HttpResponse{429, "{}"}
                                 : HttpResponse{200, kBodies.at(spoilt % kBodies.size())};
    if (request.target == "/machines/return") response.status = 500;
  };
  expect_clean_end(scenario, {job}, 500);
  EXPECT_EQ(spoilt, 12U);
}

}  // namespace
