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

std::string operations_in(const Scenario& s, const std::string& state) {
  std::string out;
  for (const auto& [key, value] : s.state.keys()) {
    if (key.starts_with(kOperationPrefix) && value.first.value("state", "") == state)
      out += key + " ";
  }
  return out;
}

bool is_rental(const HttpRequest& r) { return r.target == "/machines" && r.method == "POST"; }
bool is_ledger_write(const HttpRequest& r) {
  return r.target == "/txn" && r.body.find(kOperationPrefix) != std::string::npos;
}

// Runs until the work is done and all machines are returned, with nothing left open.
void expect_clean_end(Scenario& s, const std::vector<std::string>& jobs, double until) {
  s.world.run_until(until);
  EXPECT_TRUE(s.checker.broken.empty()) << s.checker.text();
  for (const auto& job : jobs) EXPECT_EQ(s.checker.final_of(job), "done") << job;
  EXPECT_EQ(s.cloud.orders.double_returns, 0U);
  EXPECT_EQ(s.cloud.orders.returned_with_work, 0U);
  EXPECT_EQ(s.cloud.rented(), 0U);
  EXPECT_EQ(operations_in(s, "intended"), "");
}

// ---- Clocks ----

class HolderClock : public testing::TestWithParam<double> {};

// Within the bound and far beyond it: a holder that counts its lease too long can begin nothing,
// since its writes carry the token, and what it repeats stands in the operation log.
TEST_P(HolderClock, DoesNoHarm) {
  Scenario s(81);
  s.cloud.checks_token = true;
  std::vector<std::string> jobs{s.submit(array(8, 20))};
  int holder = -1;
  // At its first answer from the cloud the holder's clock changes and it loses all but the cloud.
  s.world.answered = [&](const std::string& from, const std::string&, const HttpRequest& r) {
    if (holder >= 0 || !is_rental(r)) return;
    for (int i = 0; i < s.count(); ++i) holder = s.name(i) == from ? i : holder;
    s.nodes[static_cast<std::size_t>(holder)].runtime->set_speed(GetParam());
    s.leave_alone(holder, true);
  };
  s.world.at(120s, [&] { s.leave_alone(holder, false); });
  s.world.at(140s, [&] { jobs.push_back(s.submit(array(8, 20))); });
  expect_clean_end(s, jobs, 400);
  ASSERT_GE(holder, 0);
}

INSTANTIATE_TEST_SUITE_P(Duties, HolderClock, testing::Values(0.05, 0.9995, 1.0005, 3.0));

// ---- Take-over ----

// The cloud is down while the operation is open, and two holders end: the third completes it under
// the name that the first gave it.
TEST(TakeOver, TwiceWhileAnOperationIsOpenCompletesItUnderItsName) {
  Scenario s(82);
  const auto job = s.submit(array(8, 20));
  bool swallow = true;
  s.world.drop = [&](const std::string&, const std::string&, const HttpRequest& r) {
    return swallow && is_rental(r);
  };
  s.world.run_until(12);
  const std::string open = operations_in(s, "intended");
  ASSERT_NE(open, "");
  s.crash(s.leader(), 60);
  s.world.run_until(45);
  ASSERT_GE(s.leader(), 0);
  EXPECT_EQ(operations_in(s, "intended"), open) << "something new was begun";
  s.crash(s.leader(), 60);
  s.world.run_until(80);
  EXPECT_EQ(operations_in(s, "intended"), open);
  EXPECT_TRUE(s.cloud.orders.rentals_asked.empty());
  swallow = false;
  s.world.run_until(120);
  std::istringstream names(open);
  for (std::string key; names >> key;) {
    const auto name = key.substr(std::string_view(kOperationPrefix).size());
    EXPECT_EQ(s.cloud.orders.rentals_asked.count(name), 1U) << name << " was not completed";
  }
  expect_clean_end(s, {job}, 400);
}

// What an earlier leader was returning gets no work, although it reports and has room.
TEST(TakeOver, AMachineWithAnOpenReturnGetsNoWork) {
  Scenario s(83);
  const auto first = s.submit(array(4, 10));
  bool hold = true;
  s.world.drop = [&](const std::string&, const std::string&, const HttpRequest& r) {
    return hold && r.target == "/machines/return";
  };
  const auto returning_now = [&] {
    return operations_in(s, "intended").find("/d-") != std::string::npos;
  };
  for (double t = 1; !returning_now() && t < 120; t += 0.5) s.world.run_until(t);
  std::set<std::string> returning;
  for (const auto& [key, value] : s.state.keys()) {
    if (!key.starts_with(kOperationPrefix) || value.first.value("state", "") != "intended")
      continue;
    for (const auto& [machine, reason] : value.first["machines"].items()) returning.insert(machine);
  }
  ASSERT_FALSE(returning.empty());
  s.crash(s.leader(), 0.3);
  std::size_t started = 0;
  s.world.tamper = [&](const std::string&, const HttpRequest& request, HttpResponse& r) {
    if (request.target != "/v1/report" || r.status != 200) return;
    if (returning.count(Json::parse(request.body)["host"].get<std::string>()) == 0) return;
    for (const auto& c : Json::parse(r.body)["orders"]) started += c["verb"] == "run" ? 1 : 0;
  };
  // More than all machines hold.
  const auto second = s.submit(array(60, 20));
  s.world.run_until(s.world.t() + 60);
  EXPECT_EQ(started, 0U);
  hold = false;
  s.world.tamper = nullptr;
  expect_clean_end(s, {first, second}, s.world.t() + 300);
}

// ---- State service ----

TEST(StateServiceTrouble, OfTheHolderAloneMovesTheDuty) {
  Scenario s(84);
  std::vector<std::string> jobs{s.submit(array(8, 20))};
  s.world.run_until(10);
  const int holder = s.leader();
  s.world.refuse(s.name(holder), "state", true);
  s.world.at(100s, [&] { s.world.refuse(s.name(holder), "state", false); });
  s.world.at(30s, [&] { jobs.push_back(s.submit(array(8, 20))); });
  s.world.run_until(40);
  EXPECT_NE(s.leader(holder), -1);
  expect_clean_end(s, jobs, 400);
}

// The result of a rental cannot be recorded for a while; its machines are used all the same.
TEST(StateServiceTrouble, BetweenIntentAndResultLosesNothing) {
  Scenario s(85);
  const auto job = s.submit(array(8, 20));
  bool once = false;
  s.world.answered = [&](const std::string&, const std::string&, const HttpRequest& r) {
    if (once || !is_rental(r)) return;
    once = true;
    s.state.outage(true);
    s.world.at(15s, [&] { s.state.outage(false); });
  };
  expect_clean_end(s, {job}, 400);
  EXPECT_TRUE(once);
}

// A beginning without an answer, carried out after the operation is over: it stays over.
TEST(StateServiceTrouble, ABeginningCarriedOutLateBringsNothingBack) {
  Scenario s(86);
  const auto job = s.submit(array(8, 20));
  std::size_t late = 0;
  s.world.late = [&](const std::string&, const std::string&, const HttpRequest& r) {
    return is_ledger_write(r) && late++ < 2 ? 200.0 : 0.0;
  };
  expect_clean_end(s, {job}, 400);
  EXPECT_GE(late, 2U);
  for (const auto& [name, asked] : s.cloud.orders.rentals_asked) EXPECT_EQ(asked, 1U) << name;
  EXPECT_NE(operations_in(s, "settled"), "") << "the record that lets the late copy fail is gone";
  // A new token makes late copies fail by itself.
  s.crash(s.leader(), 0.3);
  s.world.run_until(480);
  EXPECT_EQ(operations_in(s, "settled"), "");
}

// ---- Cloud ----

// Refused, and granted by a late copy of the same request: machines that nobody accounts for.
TEST(CloudTrouble, AMachineGrantedAfterARefusalIsFoundShownAndReturned) {
  Scenario s(87);
  const auto job = s.submit(array(8, 20));
  s.cloud.no_capacity_for = 1;
  HttpRequest refused;
  s.world.answered = [&](const std::string&, const std::string& address, const HttpRequest& r) {
    if (!refused.body.empty() || !is_rental(r)) return;
    refused = r;
    s.world.at(60s, [&s, address, refused] {
      s.world.http("copies", address, refused, 4s, [](const HttpResponse&) {});
    });
  };
  s.world.run_until(120);
  ASSERT_FALSE(refused.body.empty());
  const auto orphans = s.state.keys().find(kOrphansKey);
  ASSERT_NE(orphans, s.state.keys().end());
  EXPECT_FALSE(decode_orphans(orphans->second.first).empty());
  expect_clean_end(s, {job}, 400);
}

TEST(CloudTrouble, PartialFillsOutagesAndListsThatGoBackLoseNothing) {
  Scenario s(88);
  s.cloud.most_at_once = 1;
  std::vector<std::string> jobs{s.submit(array(24, 20))};
  s.world.at(6s, [&] { s.cloud.down = true; });
  s.world.at(20s, [&] { s.cloud.down = false; });
  for (int i = 0; i < 20; ++i) {
    s.world.at(to_duration(Seconds(20 + i * 7)),
               [&s, i] { s.cloud.list_lag_s = i % 2 == 0 ? 14 : 0; });
  }
  s.world.at(60s, [&] { jobs.push_back(s.submit(array(24, 20))); });
  expect_clean_end(s, jobs, 500);
}

TEST(CloudTrouble, AnswersOverTheLimitAndMalformedOnesCountAsNone) {
  Scenario s(89);
  const auto job = s.submit(array(8, 20));
  std::size_t spoilt = 0;
  s.world.tamper = [&](const std::string&, const HttpRequest& request, HttpResponse& r) {
    const bool order = is_rental(request) || request.target == "/machines/return";
    if (!order || spoilt >= 12) return;
    constexpr std::array kBodies{"", "{", "[]", R"({"hosts":7})"};
    r = ++spoilt % 3 == 0 ? HttpResponse{429, "{}"}
                          : HttpResponse{200, kBodies.at(spoilt % kBodies.size())};
    if (request.target == "/machines/return") r.status = 500;
  };
  expect_clean_end(s, {job}, 500);
  EXPECT_EQ(spoilt, 12U);
}

// ---- Handing over, pausing, bad records ----

Json control(bool paused, std::uint64_t from) { return encode_control({paused, from}); }

std::uint64_t provisioning_token(const Scenario& s) {
  const auto it = s.state.keys().find(kLeaseKey);
  return it == s.state.keys().end() ? 0 : it->second.second;
}

class DutyHandOver : public testing::TestWithParam<int> {};

// 0: both live; 1: the old holder ends as it hands over; 2: so does the new one.
TEST_P(DutyHandOver, MovesTheDutyOnceAndLosesNothing) {
  Scenario s(90);
  std::vector<std::string> jobs{s.submit(array(8, 20))};
  s.world.run_until(6);
  const int before = s.leader();
  const auto token = provisioning_token(s);
  ASSERT_NE(token, 0U);
  s.state.put(kControlKey, control(false, token));
  if (GetParam() == 1) {
    for (double t = 6; s.leader() == before && t < 30; t += 0.01) s.world.run_until(t);
    s.crash(before, 60);
  }
  if (GetParam() == 2) {
    for (double t = 6; s.leader(before) < 0 && t < 30; t += 0.01) s.world.run_until(t);
    s.crash(s.leader(before), 60);
  }
  s.world.run_until(60);
  EXPECT_GT(provisioning_token(s), token);
  if (GetParam() != 2) {
    EXPECT_NE(s.leader(), before);
  }
  jobs.push_back(s.submit(array(8, 20)));
  expect_clean_end(s, jobs, 400);
}

INSTANTIATE_TEST_SUITE_P(Duties, DutyHandOver, testing::Values(0, 1, 2));

TEST(Pause, BeginsNothingUntilResumed) {
  Scenario s(91);
  s.state.put(kControlKey, control(true, 0));
  const auto job = s.submit(array(8, 20));
  s.world.run_until(40);
  EXPECT_EQ(s.cloud.orders.rented, 0U);
  s.state.put(kControlKey, control(false, 0));
  expect_clean_end(s, {job}, 400);
}

// What the operator's command shows and changes, from beside the nodes.
TEST(OperatorCommand, ShowsHolderOperationsAndWhatCannotBeReadAndPausesAndHandsOver) {
  Scenario s(95);
  const auto job = s.submit(array(8, 20));
  s.state.put(std::string(kOperationPrefix) + "x", Json::object());
  s.world.run_until(12);
  SimRuntime runtime(s.world, "operator", [](const std::string&, const std::string&) {});
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
  s.world.run_until(13);
  EXPECT_TRUE(good);
  const int holder = s.leader();
  EXPECT_NE(text.find("held by " + s.name(holder) + " with token " +
                      std::to_string(provisioning_token(s))),
            std::string::npos);
  EXPECT_NE(text.find("in service"), std::string::npos);
  EXPECT_NE(text.find("granted: rent"), std::string::npos);
  EXPECT_NE(text.find("ledger/machines/x cannot be read"), std::string::npos) << text;
  admin_commands.pause(true, done);
  s.world.run_until(14);
  EXPECT_TRUE(good);
  EXPECT_EQ(s.state.keys().at(kControlKey).first["paused"], true);
  admin_commands.pause(false, done);
  s.world.run_until(15);
  admin_commands.hand_over(done);
  s.world.run_until(40);
  EXPECT_TRUE(good);
  EXPECT_NE(s.leader(), holder);
  s.state.outage(true);
  admin_commands.show(done);
  s.world.run_until(60);
  EXPECT_FALSE(good);
  s.state.outage(false);
  expect_clean_end(s, {job}, 400);
}

class BadRecord : public testing::TestWithParam<std::tuple<const char*, const char*>> {};

// Nothing is started for its sake, nothing ends, and the rest goes on.
TEST_P(BadRecord, InTheLedgerIsQuarantined) {
  Scenario s(92);
  const std::string key = std::string(kOperationPrefix) + "r-1-1";
  const auto value = Json::parse(std::get<1>(GetParam()));
  s.state.put(key, value);
  const auto job = s.submit(array(8, 20));
  s.world.run_until(400);
  EXPECT_EQ(s.checker.final_of(job), "done");
  EXPECT_EQ(s.cloud.orders.rentals_asked.count("r-1-1"), 0U);
  ASSERT_NE(s.state.keys().find(key), s.state.keys().end()) << "left for an operator to look at";
  EXPECT_EQ(s.state.keys().at(key).first, value);
}

TEST_P(BadRecord, OfTheLeaseLeavesTheDutyUnheld) {
  Scenario s(93);
  s.state.put(kLeaseKey, Json::parse(std::get<1>(GetParam())));
  s.submit(array(8, 20));
  s.world.run_until(60);
  EXPECT_GE(s.leader(), 0) << "leadership does not depend on it";
  EXPECT_EQ(s.cloud.orders.rented, 0U);
}

TEST_P(BadRecord, OfTheControlPausesTheDuty) {
  Scenario s(94);
  s.state.put(kControlKey, Json::parse(std::get<1>(GetParam())));
  s.submit(array(8, 20));
  s.world.run_until(60);
  EXPECT_EQ(s.cloud.orders.rented, 0U);
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
    World world(seed);
    StateService state(world, "10.2.0.1:2379");
    struct Candidate {
      Settings settings;
      SimRuntime runtime;
      store::Store store;
      lease::Lease lease;
      Candidate(World& w, int i)
          : settings(parse_settings(settings_text(i, 3, {}))),
            runtime(w, settings.node, [](const std::string&, const std::string&) {}),
            store(runtime, settings),
            lease(runtime, store, {"duty/test", settings.node, 10s}, {[](auto, bool) {}, [] {}}) {}
    };
    std::vector<std::unique_ptr<Candidate>> all;
    for (int i = 0; i < 3; ++i) all.push_back(std::make_unique<Candidate>(world, i));
    for (auto& c : all) c->lease.campaign();
    world.run_until(3);
    const auto held =
        std::count_if(all.begin(), all.end(), [](auto& c) { return c->lease.held(); });
    EXPECT_EQ(held, 1) << "seed " << seed;
    for (auto& c : all) EXPECT_EQ(c->lease.holder(), all.front()->lease.holder());
    for (auto& c : all) {
      if (c->lease.held()) c->lease.withdraw();
    }
    world.run_until(20);
    EXPECT_EQ(std::count_if(all.begin(), all.end(), [](auto& c) { return c->lease.held(); }), 1);
  }
}

}  // namespace
