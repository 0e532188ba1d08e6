// Seeded random runs of whole deployments, with the rules checked after each step.

#include <gtest/gtest.h>

#include "base/log.hpp"
#include "sim/random_day.hpp"

namespace {

using namespace sim;

const bool kQuiet = [] {
  spdlog::set_level(std::getenv("ASTERSTAIR_TEST_LOG") != nullptr ? spdlog::level::debug
                                                                  : spdlog::level::off);
  return true;
}();

class RandomDay : public testing::TestWithParam<std::tuple<Day, int>> {};

TEST_P(RandomDay, KeepsTheRulesAndEndsTheJobs) {
  const auto& [day, seed] = GetParam();
  Scenario s(static_cast<std::uint64_t>(seed), 3, day.nodes);
  play(s, day, 300);
  // Then quiet: whatever was accepted ends.
  s.state.outage(false);
  s.cloud.down = false;
  s.cloud.never_boots = 0;
  s.world.lose = s.world.delay = s.world.copies = s.world.late_writes = 0;
  s.world.slow = nullptr;
  s.checker.on_last = nullptr;
  s.world.hear_again();
  s.world.join_again();
  for (int i = 0; i < s.count(); ++i) {
    s.world.heal(s.name(i));
    s.world.refuse(s.name(i), "state", false);
  }
  for (const auto& m : s.cloud.running()) {
    s.world.heal(m->id);
    m->sick = false;
  }
  // Nodes that have just ended are back within seconds, or a lease and some; so are machines that
  // hang.
  const bool longer = day.hangs || day.cancels || day.away || day.leaders;
  s.world.at(longer ? 30s : 10s, [&s] { s.checker.troubles_over(); });
  s.world.run_until(1500);
  s.checker.look_at_service([](const std::string&) { return false; });
  EXPECT_TRUE(s.checker.broken.empty()) << "seed " << seed << "\n" << s.checker.text();
  EXPECT_GT(s.checker.done_tasks, 50U) << "seed " << seed;
  unsigned open = 0;
  std::string which;
  for (unsigned i = 1; i <= s.next_job; ++i) {
    char id[16];
    std::snprintf(id, sizeof id, "req-%06u", i);
    if (s.checker.accepted(id) && !s.checker.over(id)) {
      ++open;
      which += std::string(id) + " ";
    }
  }
  EXPECT_EQ(open, 0U) << "seed " << seed << ": " << which;
}

// Two troubles and more at a time, as the operators' page names them.
INSTANTIATE_TEST_SUITE_P(
    Meetings, RandomDay,
    testing::Combine(
        testing::Values(
            Day{.name = "gap", .cancels = true, .gap = true, .nodes = 5},
            Day{.name = "gap_copies", .copies = true, .cancels = true, .gap = true, .slow = true},
            Day{.name = "late_writes", .crashes = true, .late_writes = true, .nodes = 5},
            Day{.name = "late_writes_at_end", .late_writes = true, .at_end = true, .slow = true},
            Day{.name = "away", .cuts = true, .copies = true, .away = true},
            Day{.name = "leaders", .outages = true, .cancels = true, .leaders = true, .nodes = 5},
            Day{.name = "zones", .crashes = true, .zones = true, .nodes = 5},
            Day{.name = "zones_spot", .spot = true, .copies = true, .zones = true},
            Day{.name = "hangs", .crashes = true, .hangs = true, .cancels = true},
            Day{.name = "deaf_leaders", .deaf = true, .mute = true, .leaders = true, .nodes = 5},
            Day{.name = "alone_cancels", .alone = true, .cancels = true, .odd = true, .nodes = 5},
            Day{.name = "full", .burst = true, .copies = true, .cancels = true, .slow = true},
            Day{.name = "at_end_odd", .at_end = true, .odd = true},
            Day{.name = "all_meetings",
                .outages = true,
                .cuts = true,
                .spot = true,
                .deaf = true,
                .copies = true,
                .alone = true,
                .flapping = true,
                .late_writes = true,
                .hangs = true,
                .mute = true,
                .zones = true,
                .cancels = true,
                .at_end = true,
                .odd = true,
                .nodes = 5}),
        testing::Values(1, 2)),
    [](const auto& info) {
      return std::string(std::get<0>(info.param).name) + "_" +
             std::to_string(std::get<1>(info.param));
    });

INSTANTIATE_TEST_SUITE_P(
    Days, RandomDay,
    testing::Combine(testing::Values(Day{"quiet"}, Day{"crashes", true},
                                     Day{"outages", false, true}, Day{"cuts", false, false, true},
                                     Day{"spot", false, false, false, true, true},
                                     Day{"cloud", false, false, false, false, false, true},
                                     Day{"messages", true, false, true, false, false, false, true},
                                     Day{"everything", true, true, true, true, true, true, true,
                                         true},
                                     Day{.name = "deaf", .deaf = true},
                                     Day{.name = "copies",
                                         .crashes = true,
                                         .cuts = true,
                                         .spot = true,
                                         .copies = true,
                                         .nodes = 5},
                                     Day{.name = "alone", .alone = true, .nodes = 5},
                                     Day{.name = "flapping", .flapping = true, .nodes = 5},
                                     Day{.name = "all_new",
                                         .outages = true,
                                         .cuts = true,
                                         .losses = true,
                                         .deaf = true,
                                         .copies = true,
                                         .alone = true,
                                         .flapping = true,
                                         .nodes = 5}),
                     testing::Values(1, 2, 3)),
    [](const auto& info) {
      return std::string(std::get<0>(info.param).name) + "_" +
             std::to_string(std::get<1>(info.param));
    });

// ---- The checker can fail ----

TEST(Checker, CatchesAStartBesideARunningTask) {
  Scenario s(11);
  // Every start order is copied into the next answer to another worker.
  Json stolen;
  std::string from;
  bool done = false;
  s.world.tamper = [&](const std::string&, const HttpRequest& request, HttpResponse& r) {
    if (done || request.target != "/v1/report" || r.status != 200) return;
    auto out = Json::parse(r.body);
    const auto host = Json::parse(request.body)["host"].get<std::string>();
    // A machine with work of its own would refuse it for want of room.
    const bool empty = Json::parse(request.body)["pieces"].empty() && out["orders"].empty();
    if (!stolen.is_null() && host != from && empty) {
      out["orders"].push_back(stolen);
      r.body = out.dump();
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
    Scenario::Ask a;
    a.truth.team = "blue";
    a.spec.cpus = 12;
    a.spec.run_s = 100;
    a.spec.image = "img";
    a.spec.image_gb = 0.01;
    s.submit(a);
  }
  s.world.run_until(200);
  EXPECT_TRUE(s.checker.found("ran_twice")) << s.checker.text();
}

TEST(Checker, CatchesDoneBeforeItIsTrue) {
  Scenario s(12);
  bool done = false;
  s.world.tamper = [&](const std::string&, const HttpRequest& request, HttpResponse& r) {
    if (done || request.method != "GET" || request.target.rfind("/v2/runs/", 0) != 0 ||
        r.status != 200)
      return;
    auto out = Json::parse(r.body);
    if (out["stage"] != "running") return;
    out["stage"] = "done";
    r.body = out.dump();
    done = true;
  };
  play(s, {"tampered"}, 200);
  EXPECT_TRUE(s.checker.found("not_done")) << s.checker.text();
}

void submit_and_cancel(Scenario& s, double run_s, Duration when) {
  Scenario::Ask a;
  a.truth.team = "blue";
  a.spec.cpus = 1;
  a.spec.run_s = run_s;
  a.spec.image = "img";
  const auto id = s.submit(a);
  s.world.at(when, [&s, id] { s.cancel(id); });
}

TEST(Checker, CatchesACancelledTaskLeftRunning) {
  Scenario s(13);
  s.world.tamper = [](const std::string&, const HttpRequest& request, HttpResponse& r) {
    take_out(request, r, [](const Json& c) { return c["verb"] == "kill"; });
  };
  s.world.drop = [](const std::string&, const std::string&, const HttpRequest& request) {
    return request.target == "/orders";
  };
  submit_and_cancel(s, 200, 40s);
  s.world.run_until(150);
  EXPECT_TRUE(s.checker.found("ran_cancelled")) << s.checker.text();
}

TEST(Checker, CatchesAForgottenJob) {
  Scenario s(14);
  s.world.tamper = [](const std::string&, const HttpRequest& request, HttpResponse& r) {
    if (request.method == "GET" && request.target.rfind("/v2/runs/", 0) == 0 && r.status == 200)
      r.status = 404;
  };
  play(s, {"tampered"}, 60);
  EXPECT_TRUE(s.checker.found("forgotten")) << s.checker.text();
}

TEST(Checker, CatchesACancelledJobCalledQueuedAgain) {
  Scenario s(15);
  s.world.tamper = [&](const std::string&, const HttpRequest& request, HttpResponse& r) {
    auto out = Json::parse(r.body, nullptr, false);
    if (!out.is_object() || out.value("stage", "") != "withdrawn") return;
    if (request.method == "POST") return;
    out["stage"] = "queued";
    r.body = out.dump();
  };
  submit_and_cancel(s, 100, 10s);
  s.world.run_until(60);
  EXPECT_TRUE(s.checker.found("went_back")) << s.checker.text();
}

TEST(RandomRuns, RepeatBySeed) {
  const auto once = [](std::uint64_t seed) {
    Scenario s(seed);
    play(s, {"everything", true, true, true, true, true, true, true, true}, 120);
    return std::tuple(s.checker.starts, s.checker.done_tasks, s.state.writes, s.world.rng());
  };
  EXPECT_EQ(once(5), once(5));
  EXPECT_NE(once(5), once(6));
}

}  // namespace
