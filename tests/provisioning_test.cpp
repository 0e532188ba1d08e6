// The machine duty in trouble, one trouble at a time: its lease, its operation log, and the cloud.

#include <gtest/gtest.h>

#include <sstream>

#include "lease/lease.hpp"
#include "provisioning/admin_commands.hpp"
#include "provisioning/records.hpp"
#include "sim/scenario.hpp"

namespace {

using namespace sim;
using namespace asterstair::provisioning;

std::string operations_in(const Scenario& scenario, const std::string& state) {
  std::string out;
  for (const auto& [key, value] : scenario.store.records()) {
    if (key.starts_with(kOperationPrefix) && value.first.value("state", "") == state)
      out += key + " ";
  }
  return out;
}

bool is_rental(const HttpRequest& request) {
  return request.target == "/machines" && request.method == "POST";
}
bool is_ledger_write(const HttpRequest& request) {
  return request.target == "/txn" && request.body.find(kOperationPrefix) != std::string::npos;
}

// Runs until the work is done and all machines are returned, with nothing left open.
void expect_clean_end(Scenario& scenario, const std::vector<std::string>& jobs, double until) {
  scenario.run_until(until);
  EXPECT_TRUE(scenario.checker.violations.empty()) << scenario.checker.report();
  for (const auto& job : jobs) EXPECT_EQ(scenario.checker.final_stage(job), "done") << job;
  EXPECT_EQ(scenario.cloud.requests.double_returns, 0U);
  EXPECT_EQ(scenario.cloud.requests.returned_with_work, 0U);
  EXPECT_EQ(scenario.cloud.rented_count(), 0U);
  EXPECT_EQ(operations_in(scenario, "intended"), "");
}

// ---- Clocks ----

class HolderClock : public testing::TestWithParam<double> {};

// Within the bound and far beyond it: a holder that counts its lease too long can begin nothing,
// since its writes carry the token, and what it repeats stands in the operation log.
TEST_P(HolderClock, DoesNoHarm) {
  Scenario scenario(81);
  scenario.cloud.checks_tokens = true;
  std::vector<std::string> jobs{scenario.users.submit(array_job(8, 20))};
  int holder = -1;
  // At its first answer from the cloud the holder's clock changes and it loses all but the cloud.
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

INSTANTIATE_TEST_SUITE_P(Duties, HolderClock, testing::Values(0.05, 0.9995, 1.0005, 3.0));

// ---- Take-over ----

// The cloud is down while the operation is open, and two holders end: the third completes it under
// the name that the first gave it.
TEST(TakeOver, TwiceWhileAnOperationIsOpenCompletesItUnderItsName) {
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

// What an earlier leader was returning gets no work, although it reports and has room.
TEST(TakeOver, AMachineWithAnOpenReturnGetsNoWork) {
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
    if (request.target != "/v1/report" || response.status != 200) return;
    if (returning.count(Json::parse(request.body)["host"].get<std::string>()) == 0) return;
    for (const auto& c : Json::parse(response.body)["orders"])
      started += c["verb"] == "run" ? 1 : 0;
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

TEST(StateServiceTrouble, OfTheHolderAloneMovesTheDuty) {
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

// The result of a rental cannot be recorded for a while; its machines are used all the same.
TEST(StateServiceTrouble, BetweenIntentAndResultLosesNothing) {
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

// A beginning without an answer, carried out after the operation is over: it stays over.
TEST(StateServiceTrouble, ABeginningCarriedOutLateBringsNothingBack) {
  Scenario scenario(86);
  const auto job = scenario.users.submit(array_job(8, 20));
  std::size_t late = 0;
  scenario.network.delay_request = [&](const std::string&, const std::string&,
                                       const HttpRequest& request) {
    return is_ledger_write(request) && late++ < 2 ? 200.0 : 0.0;
  };
  expect_clean_end(scenario, {job}, 400);
  EXPECT_GE(late, 2U);
  for (const auto& [name, asked] : scenario.cloud.requests.rentals) EXPECT_EQ(asked, 1U) << name;
  EXPECT_NE(operations_in(scenario, "settled"), "")
      << "the record that lets the late copy fail is gone";
  // A new token makes late copies fail by itself.
  scenario.crash(scenario.leader(), 0.3);
  scenario.run_until(480);
  EXPECT_EQ(operations_in(scenario, "settled"), "");
}

// ---- Cloud ----

// Refused, and granted by a late copy of the same request: machines that nobody accounts for.
TEST(CloudTrouble, AMachineGrantedAfterARefusalIsFoundShownAndReturned) {
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

TEST(CloudTrouble, PartialFillsOutagesAndListsThatGoBackLoseNothing) {
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

TEST(CloudTrouble, AnswersOverTheLimitAndMalformedOnesCountAsNone) {
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

// ---- Handing over, pausing, bad records ----

Json control(bool paused, std::uint64_t from) { return encode_control({paused, from}); }

std::uint64_t provisioning_token(const Scenario& scenario) {
  const auto it = scenario.store.records().find(kLeaseKey);
  return it == scenario.store.records().end() ? 0 : it->second.second;
}

class DutyHandOver : public testing::TestWithParam<int> {};

// 0: both live; 1: the old holder ends as it hands over; 2: so does the new one.
TEST_P(DutyHandOver, MovesTheDutyOnceAndLosesNothing) {
  Scenario scenario(90);
  std::vector<std::string> jobs{scenario.users.submit(array_job(8, 20))};
  scenario.run_until(6);
  const int before = scenario.leader();
  const auto token = provisioning_token(scenario);
  ASSERT_NE(token, 0U);
  scenario.store.overwrite(kControlKey, control(false, token));
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

INSTANTIATE_TEST_SUITE_P(Duties, DutyHandOver, testing::Values(0, 1, 2));

TEST(Pause, BeginsNothingUntilResumed) {
  Scenario scenario(91);
  scenario.store.overwrite(kControlKey, control(true, 0));
  const auto job = scenario.users.submit(array_job(8, 20));
  scenario.run_until(40);
  EXPECT_EQ(scenario.cloud.requests.rented, 0U);
  scenario.store.overwrite(kControlKey, control(false, 0));
  expect_clean_end(scenario, {job}, 400);
}

// What the operator's command shows and changes, from beside the nodes.
TEST(OperatorCommand, ShowsHolderOperationsAndWhatCannotBeReadAndPausesAndHandsOver) {
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
  bool good = false;
  const auto done = [&](bool ok, const std::vector<std::string>& lines) {
    good = ok;
    text.clear();
    for (const auto& line : lines) text += line + "\n";
  };
  admin_commands.show(done);
  scenario.run_until(13);
  EXPECT_TRUE(good);
  const int holder = scenario.leader();
  EXPECT_NE(text.find("held by " + scenario.node_name(holder) + " with token " +
                      std::to_string(provisioning_token(scenario))),
            std::string::npos);
  EXPECT_NE(text.find("in service"), std::string::npos);
  EXPECT_NE(text.find("granted: rent"), std::string::npos);
  EXPECT_NE(text.find("ledger/machines/x cannot be read"), std::string::npos) << text;
  admin_commands.pause(true, done);
  scenario.run_until(14);
  EXPECT_TRUE(good);
  EXPECT_EQ(scenario.store.records().at(kControlKey).first["paused"], true);
  admin_commands.pause(false, done);
  scenario.run_until(15);
  admin_commands.hand_over(done);
  scenario.run_until(40);
  EXPECT_TRUE(good);
  EXPECT_NE(scenario.leader(), holder);
  scenario.store.set_outage(true);
  admin_commands.show(done);
  scenario.run_until(60);
  EXPECT_FALSE(good);
  scenario.store.set_outage(false);
  expect_clean_end(scenario, {job}, 400);
}

class BadRecord : public testing::TestWithParam<std::tuple<const char*, const char*>> {};

// Nothing is started for its sake, nothing ends, and the rest goes on.
TEST_P(BadRecord, InTheLedgerIsQuarantined) {
  Scenario scenario(92);
  const std::string key = std::string(kOperationPrefix) + "r-1-1";
  const auto value = Json::parse(std::get<1>(GetParam()));
  scenario.store.overwrite(key, value);
  const auto job = scenario.users.submit(array_job(8, 20));
  scenario.run_until(400);
  EXPECT_EQ(scenario.checker.final_stage(job), "done");
  EXPECT_EQ(scenario.cloud.requests.rentals.count("r-1-1"), 0U);
  ASSERT_NE(scenario.store.records().find(key), scenario.store.records().end())
      << "left for an operator to look at";
  EXPECT_EQ(scenario.store.records().at(key).first, value);
}

TEST_P(BadRecord, OfTheLeaseLeavesTheDutyUnheld) {
  Scenario scenario(93);
  scenario.store.overwrite(kLeaseKey, Json::parse(std::get<1>(GetParam())));
  scenario.users.submit(array_job(8, 20));
  scenario.run_until(60);
  EXPECT_GE(scenario.leader(), 0) << "leadership does not depend on it";
  EXPECT_EQ(scenario.cloud.requests.rented, 0U);
}

TEST_P(BadRecord, OfTheControlPausesTheDuty) {
  Scenario scenario(94);
  scenario.store.overwrite(kControlKey, Json::parse(std::get<1>(GetParam())));
  scenario.users.submit(array_job(8, 20));
  scenario.run_until(60);
  EXPECT_EQ(scenario.cloud.requests.rented, 0U);
}

INSTANTIATE_TEST_SUITE_P(
    Duties, BadRecord,
    testing::Values(std::tuple{"empty", "{}"}, std::tuple{"list", "[1]"},
                    std::tuple{"text", "\"x\""},
                    std::tuple{"state", R"({"kind":"rent","state":"dreamt","token":1,"holder":"a",
                        "begun":1,"type":"c16","zone":"north","spot":false,"count":1})"},
                    std::tuple{"newer", R"({"form":2,"kind":"rent","state":"intended","token":1,
                        "holder":"a","begun":1,"type":"c16","zone":"north","spot":false,"count":1,
                        "node":"ghat-9","claim":1,"contested":false,"paused":false,
                        "hand over from":0})"}),
    [](const auto& info) { return std::get<0>(info.param); });

// ---- The lease by itself ----

// Candidates that claim in the same instant: one gets it, and all know who.
TEST(Lease, OfCandidatesInTheSameInstantOneGetsIt) {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    Simulator simulator(seed);
    Network network(simulator);
    KeyValueStore state(simulator, network, "10.2.0.1:2379");
    struct Candidate {
      Settings settings;
      SimRuntime runtime;
      store::Store store;
      lease::Lease lease;
      Candidate(Simulator& simulator, Network& network, int i)
          : settings(parse_settings(settings_text(i, 3, {}))),
            runtime(simulator, network, settings.node,
                    [](const std::string&, const std::string&) {}),
            store(runtime, settings),
            lease(runtime, store, {"duty/test", settings.node, 10s}, {[](auto, bool) {}, [] {}}) {}
    };
    std::vector<std::unique_ptr<Candidate>> all;
    for (int i = 0; i < 3; ++i) all.push_back(std::make_unique<Candidate>(simulator, network, i));
    for (auto& c : all) c->lease.campaign();
    simulator.run_until(3);
    const auto held =
        std::count_if(all.begin(), all.end(), [](auto& c) { return c->lease.held(); });
    EXPECT_EQ(held, 1) << "seed " << seed;
    for (auto& c : all) EXPECT_EQ(c->lease.holder(), all.front()->lease.holder());
    for (auto& c : all) {
      if (c->lease.held()) c->lease.withdraw();
    }
    simulator.run_until(20);
    EXPECT_EQ(std::count_if(all.begin(), all.end(), [](auto& c) { return c->lease.held(); }), 1);
  }
}

}  // namespace
