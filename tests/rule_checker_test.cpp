// The rule checker of the simulations reports what breaks a rule.

#include <gtest/gtest.h>

#include "sim/fault_injection.hpp"
#include "sim/traffic.hpp"

namespace {

using namespace sim;

TEST(RuleChecker, ReportsATaskThatRunsTwice) {
  Scenario scenario(11);
  // A start command is copied into the next answer to another worker.
  Json stolen;
  std::string from;
  bool done = false;
  scenario.network.alter_response = [&](const std::string&, const HttpRequest& request,
                                        HttpResponse& response) {
    if (done || !is_accepted_heartbeat(request, response)) return;
    auto out = Json::parse(response.body);
    const auto host = Json::parse(request.body)["host"].get<std::string>();
    // A machine with tasks of its own would refuse it for lack of room.
    const bool empty = Json::parse(request.body)["pieces"].empty() && out["orders"].empty();
    if (!stolen.is_null() && host != from && empty) {
      out["orders"].push_back(stolen);
      response.body = out.dump();
      done = true;
      return;
    }
    for (const auto& command : out["orders"]) {
      if (command["verb"] != "run") continue;
      stolen = command;
      from = host;
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
  EXPECT_TRUE(scenario.checker.violated("ran_twice")) << scenario.checker.report();
}

TEST(RuleChecker, ReportsDoneBeforeCompletion) {
  Scenario scenario(12);
  bool done = false;
  scenario.network.alter_response = [&](const std::string&, const HttpRequest& request,
                                        HttpResponse& response) {
    if (done || request.method != "GET" || request.target.rfind("/v2/runs/", 0) != 0 ||
        response.status != 200)
      return;
    auto out = Json::parse(response.body);
    if (out["stage"] != "running") return;
    out["stage"] = "done";
    response.body = out.dump();
    done = true;
  };
  run_randomized(scenario, {"tampered"}, 200);
  EXPECT_TRUE(scenario.checker.violated("not_done")) << scenario.checker.report();
}

void submit_and_cancel(Scenario& scenario, double run_s, Duration when) {
  Submission job;
  job.requirements.team = "blue";
  job.workload.cpus = 1;
  job.workload.run_s = run_s;
  job.workload.image = "img";
  const auto id = scenario.users.submit(job);
  scenario.simulator.schedule(when, [&scenario, id] { scenario.users.cancel(id); });
}

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
  EXPECT_TRUE(scenario.checker.violated("ran_cancelled")) << scenario.checker.report();
}

TEST(RuleChecker, ReportsAForgottenJob) {
  Scenario scenario(14);
  scenario.network.alter_response = [](const std::string&, const HttpRequest& request,
                                       HttpResponse& response) {
    if (request.method == "GET" && request.target.rfind("/v2/runs/", 0) == 0 &&
        response.status == 200)
      response.status = 404;
  };
  run_randomized(scenario, {"tampered"}, 60);
  EXPECT_TRUE(scenario.checker.violated("forgotten")) << scenario.checker.report();
}

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
  EXPECT_TRUE(scenario.checker.violated("went_back")) << scenario.checker.report();
}

TEST(RuleChecker, ReportsAnAcceptedInvalidJob) {
  Scenario scenario(58);
  scenario.run_until(10);
  scenario.users.submit_invalid(array_job(1, 5), [](Json&) {});  // valid, so it is accepted
  scenario.run_until(20);
  EXPECT_TRUE(scenario.checker.violated("unsound")) << scenario.checker.report();
}

TEST(RuleChecker, ReportsAJobThatWaitsBesideRoom) {
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
  EXPECT_TRUE(scenario.checker.violated("waits")) << scenario.checker.report();
}

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
  EXPECT_TRUE(scenario.checker.violated("forgotten")) << scenario.checker.report();
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
  EXPECT_TRUE(scenario.checker.violated("served")) << scenario.checker.report();
}

}  // namespace
