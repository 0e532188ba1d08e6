// Guards against a rule checker that overlooks violations, since all simulations rely on it. Each
// test injects one violation, mostly by altering messages, and expects the checker to report it.

#include <gtest/gtest.h>

#include "sim/fault_injection.hpp"
#include "sim/traffic.hpp"

namespace {

using namespace sim;

TEST(RuleChecker, ReportsATaskThatRunsTwice) {
  Scenario scenario(11);
  // Copies a start command into the response to a heartbeat of another worker.
  Json copied_command;
  std::string original_host;
  bool injected = false;
  scenario.network.alter_response = [&](const std::string&, const HttpRequest& request,
                                        HttpResponse& response) {
    if (injected || !is_accepted_heartbeat(request, response)) return;
    auto out = Json::parse(response.body);
    const auto host = Json::parse(request.body)["host"].get<std::string>();
    // A machine that runs a task would reject the command for lack of room.
    const bool empty = Json::parse(request.body)["pieces"].empty() && out["orders"].empty();
    if (!copied_command.is_null() && host != original_host && empty) {
      out["orders"].push_back(copied_command);
      response.body = out.dump();
      injected = true;
      return;
    }
    for (const auto& command : out["orders"]) {
      if (command["verb"] != "run") continue;
      copied_command = command;
      original_host = host;
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
  EXPECT_TRUE(scenario.checker.violated("duplicate_execution")) << scenario.checker.report();
}

// A running job is reported to its user as done.
TEST(RuleChecker, ReportsDoneBeforeCompletion) {
  Scenario scenario(12);
  bool injected = false;
  scenario.network.alter_response = [&](const std::string&, const HttpRequest& request,
                                        HttpResponse& response) {
    if (injected || request.method != "GET" || request.target.rfind("/v2/runs/", 0) != 0 ||
        response.status != 200)
      return;
    auto out = Json::parse(response.body);
    if (out["stage"] != "running") return;
    out["stage"] = "done";
    response.body = out.dump();
    injected = true;
  };
  run_randomized(scenario, {"tampered"}, 200);
  EXPECT_TRUE(scenario.checker.violated("done_before_completion")) << scenario.checker.report();
}

void submit_and_cancel(Scenario& scenario, double run_s, Duration delay) {
  Submission job;
  job.requirements.team = "blue";
  job.workload.cpus = 1;
  job.workload.run_s = run_s;
  job.workload.image = "img";
  const auto id = scenario.users.submit(job);
  scenario.simulator.schedule(delay, [&scenario, id] { scenario.users.cancel(id); });
}

// No stop command reaches a worker.
TEST(RuleChecker, ReportsACancelledTaskLeftRunning) {
  Scenario scenario(13);
  scenario.network.alter_response = [](const std::string&, const HttpRequest& request,
                                       HttpResponse& response) {
    remove_commands(request, response,
                    [](const Json& command) { return command["verb"] == "kill"; });
  };
  drop_direct_commands(scenario.network);
  submit_and_cancel(scenario, 200, 40s);
  scenario.run_until(150);
  EXPECT_TRUE(scenario.checker.violated("ran_after_cancellation")) << scenario.checker.report();
}

// Queries of accepted jobs are answered 404.
TEST(RuleChecker, ReportsALostJob) {
  Scenario scenario(14);
  scenario.network.alter_response = [](const std::string&, const HttpRequest& request,
                                       HttpResponse& response) {
    if (request.method == "GET" && request.target.rfind("/v2/runs/", 0) == 0 &&
        response.status == 200)
      response.status = 404;
  };
  run_randomized(scenario, {"tampered"}, 60);
  EXPECT_TRUE(scenario.checker.violated("job_lost")) << scenario.checker.report();
}

// A cancelled job is reported as queued to later queries.
TEST(RuleChecker, ReportsACancelledJobQueuedAgain) {
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
  EXPECT_TRUE(scenario.checker.violated("invalid_stage_change")) << scenario.checker.report();
}

// The checker takes the job for invalid, but it is accepted.
TEST(RuleChecker, ReportsAnAcceptedInvalidJob) {
  Scenario scenario(58);
  scenario.run_until(10);
  scenario.users.submit_invalid(array_job(1, 5),
                                [](Json&) {});  // left valid, so that it is accepted
  scenario.run_until(20);
  EXPECT_TRUE(scenario.checker.violated("invalid_job_accepted")) << scenario.checker.report();
}

// The start commands of a job are removed although there is room for it.
TEST(RuleChecker, ReportsAStarvedJob) {
  Scenario scenario(59);
  scenario.users.submit(array_job(2, 400));
  scenario.run_until(30);
  scenario.checker.on_faults_over();
  std::string starved;
  scenario.network.alter_response = [&](const std::string&, const HttpRequest& request,
                                        HttpResponse& response) {
    remove_commands(request, response, [&](const Json& command) {
      return command["verb"] == "run" && command["piece"].get<std::string>().rfind(starved, 0) == 0;
    });
  };
  starved = scenario.users.submit(array_job(1, 5));
  scenario.run_until(180);
  EXPECT_TRUE(scenario.checker.violated("starvation")) << scenario.checker.report();
}

// A worker receives a start command for a job whose cancellation is confirmed.
TEST(RuleChecker, CountsStartsAfterACancellation) {
  Scenario scenario(60);
  const auto id = scenario.users.submit(array_job(1, 400));
  scenario.run_until(30);
  scenario.users.cancel(id);
  scenario.run_until(35);
  ASSERT_TRUE(scenario.checker.cancellation_confirmed(id));
  const auto worker = scenario.cloud.running_workers().front();
  scenario.network.http("copies", worker->address,
                        {"POST", "/orders",
                         Json{{"baton", std::uint64_t{1} << 40U},
                              {"tenure", worker->epoch()},
                              {"orders", {{{"verb", "run"}, {"piece", id + "/0"}, {"try", 99}}}}}
                             .dump()},
                        4s, [](const HttpResponse&) {});
  scenario.run_until(37);
  EXPECT_EQ(scenario.checker.starts_after_cancel, 1U);
}

// All queries of an accepted job are answered 503.
TEST(RuleChecker, ReportsUnansweredQueries) {
  Scenario scenario(25);
  const auto id = scenario.users.submit(array_job(1, 400));
  scenario.run_until(30);
  scenario.checker.on_faults_over();
  scenario.network.alter_response = [&](const std::string&, const HttpRequest& request,
                                        HttpResponse& response) {
    if (request.method == "GET" && request.target == "/v2/runs/" + id) response.status = 503;
  };
  scenario.run_until(150);
  EXPECT_TRUE(scenario.checker.violated("job_lost")) << scenario.checker.report();
}

TEST(RuleChecker, ReportsAnUnservedClass) {
  Scenario scenario(26);
  // No task of a gang ever starts.
  scenario.network.alter_response = [&](const std::string&, const HttpRequest& request,
                                        HttpResponse& response) {
    remove_commands(request, response, [&](const Json& command) {
      const auto piece = command["piece"].get<std::string>();
      return command["verb"] == "run" &&
             scenario.jobs.workloads.at(piece.substr(0, piece.find('/'))).gang;
    });
  };
  for (int i = 0; i < 6; ++i) {
    auto job = array_job(2, 10);
    job.workload.gang = i % 2 == 0;
    scenario.users.submit(job);
  }
  scenario.run_until(400);
  scenario.checker.check_service([](const std::string&) { return true; });
  EXPECT_TRUE(scenario.checker.violated("underserved")) << scenario.checker.report();
}

}  // namespace
