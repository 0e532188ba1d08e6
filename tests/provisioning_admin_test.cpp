// Tests of administrators' requests to provisioning (handover, pause, admin commands) and of
// records that cannot be decoded.

#include <gtest/gtest.h>

#include "provisioning/admin_commands.hpp"
#include "provisioning_fixture.hpp"

namespace {

using namespace test_support;

Json control_record(bool paused, std::uint64_t hand_over_from) {
  return encode_control({paused, hand_over_from});
}

// A handover must happen exactly once and lose no job or machine, even if a holder crashes.
// 0: no crash; 1: the old holder crashes as it hands over; 2: the new holder crashes.
class ProvisioningHandover : public testing::TestWithParam<int> {};

TEST_P(ProvisioningHandover, HappensOnceAndLosesNothing) {
  Scenario scenario(90);
  std::vector<std::string> jobs{scenario.users.submit(array_job(8, 20))};
  scenario.run_until(6);
  const int before = scenario.leader();
  const auto token = provisioning_token(scenario);
  ASSERT_NE(token, 0U);
  scenario.store.overwrite(kControlKey, control_record(false, token));
  if (GetParam() == 1) {
    for (double t = 6; scenario.leader() == before && t < 30; t += 0.01) scenario.run_until(t);
    scenario.crash(before, 60);
  }
  if (GetParam() == 2) {
    for (double t = 6; scenario.leader(before) < 0 && t < 30; t += 0.01) scenario.run_until(t);
    scenario.crash(scenario.leader(before), 60);
  }
  scenario.run_until(60);
  EXPECT_GT(provisioning_token(scenario), token);
  if (GetParam() != 2) {
    EXPECT_NE(scenario.leader(), before);
  }
  jobs.push_back(scenario.users.submit(array_job(8, 20)));
  expect_clean_end(scenario, jobs, 400);
}

INSTANTIATE_TEST_SUITE_P(Provisioning, ProvisioningHandover, testing::Values(0, 1, 2));

TEST(ProvisioningPause, BeginsNoOperationUntilResumed) {
  Scenario scenario(91);
  scenario.store.overwrite(kControlKey, control_record(true, 0));
  const auto job = scenario.users.submit(array_job(8, 20));
  scenario.run_until(40);
  EXPECT_EQ(scenario.cloud.requests.rented, 0U);
  scenario.store.overwrite(kControlKey, control_record(false, 0));
  expect_clean_end(scenario, {job}, 400);
}

// Runs the admin commands from outside the nodes, and checks their output and their effect.
TEST(AdminCommands, ShowPauseAndHandOver) {
  Scenario scenario(95);
  const auto job = scenario.users.submit(array_job(8, 20));
  scenario.store.overwrite(std::string(kOperationPrefix) + "x", Json::object());
  scenario.run_until(12);
  SimRuntime runtime(scenario.simulator, scenario.network, "operator",
                     [](const std::string&, const std::string&) {});
  const auto settings = parse_settings(settings_text(0, 3, {}));
  store::Store store(runtime, settings);
  AdminCommands admin_commands(store);
  std::string text;
  bool succeeded = false;
  const auto done = [&](bool ok, const std::vector<std::string>& lines) {
    succeeded = ok;
    text.clear();
    for (const auto& line : lines) text += line + "\n";
  };
  admin_commands.show(done);
  scenario.run_until(13);
  EXPECT_TRUE(succeeded);
  const int holder = scenario.leader();
  EXPECT_NE(text.find("held by " + scenario.node_name(holder) + " with token " +
                      std::to_string(provisioning_token(scenario))),
            std::string::npos);
  EXPECT_NE(text.find("in service"), std::string::npos);
  EXPECT_NE(text.find("granted: rent"), std::string::npos);
  EXPECT_NE(text.find("ledger/machines/x cannot be read"), std::string::npos) << text;
  admin_commands.pause(true, done);
  scenario.run_until(14);
  EXPECT_TRUE(succeeded);
  EXPECT_EQ(scenario.store.records().at(kControlKey).first["paused"], true);
  admin_commands.pause(false, done);
  scenario.run_until(15);
  admin_commands.hand_over(done);
  scenario.run_until(40);
  EXPECT_TRUE(succeeded);
  EXPECT_NE(scenario.leader(), holder);
  scenario.store.set_outage(true);
  admin_commands.show(done);
  scenario.run_until(60);
  EXPECT_FALSE(succeeded);
  scenario.store.set_outage(false);
  expect_clean_end(scenario, {job}, 400);
}

// Stored values that cannot be decoded. Such a record must not start or end anything, and the rest
// of the service must go on.
class MalformedRecord : public testing::TestWithParam<std::tuple<const char*, const char*>> {};

TEST_P(MalformedRecord, OfAnOperationIsQuarantined) {
  Scenario scenario(92);
  const std::string key = std::string(kOperationPrefix) + "r-1-1";
  const auto value = Json::parse(std::get<1>(GetParam()));
  scenario.store.overwrite(key, value);
  const auto job = scenario.users.submit(array_job(8, 20));
  scenario.run_until(400);
  EXPECT_EQ(scenario.checker.final_stage(job), "done");
  EXPECT_EQ(scenario.cloud.requests.rentals.count("r-1-1"), 0U);
  ASSERT_NE(scenario.store.records().find(key), scenario.store.records().end())
      << "the record was not kept for administrators";
  EXPECT_EQ(scenario.store.records().at(key).first, value);
}

TEST_P(MalformedRecord, OfTheLeaseLeavesProvisioningWithoutAHolder) {
  Scenario scenario(93);
  scenario.store.overwrite(kLeaseKey, Json::parse(std::get<1>(GetParam())));
  scenario.users.submit(array_job(8, 20));
  scenario.run_until(60);
  EXPECT_GE(scenario.leader(), 0) << "leadership must not depend on the provisioning lease";
  EXPECT_EQ(scenario.cloud.requests.rented, 0U);
}

TEST_P(MalformedRecord, OfTheControlPausesProvisioning) {
  Scenario scenario(94);
  scenario.store.overwrite(kControlKey, Json::parse(std::get<1>(GetParam())));
  scenario.users.submit(array_job(8, 20));
  scenario.run_until(60);
  EXPECT_EQ(scenario.cloud.requests.rented, 0U);
}

INSTANTIATE_TEST_SUITE_P(
    Provisioning, MalformedRecord,
    testing::Values(std::tuple{"empty", "{}"}, std::tuple{"list", "[1]"},
                    std::tuple{"text", "\"x\""},
                    std::tuple{"state", R"({"kind":"rent","state":"dreamt","token":1,"holder":"a",
                        "begun":1,"type":"c16","zone":"north","spot":false,"count":1})"},
                    std::tuple{"newer", R"({"form":2,"kind":"rent","state":"intended","token":1,
                        "holder":"a","begun":1,"type":"c16","zone":"north","spot":false,"count":1,
                        "node":"ghat-9","claim":1,"contested":false,"paused":false,
                        "hand over from":0})"}),
    [](const auto& info) { return std::get<0>(info.param); });

}  // namespace
