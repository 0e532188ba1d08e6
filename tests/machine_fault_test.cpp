// Faulty machines and faulty jobs, and the placement constraints that hold in spite of them.

#include <gtest/gtest.h>

#include "sim/scenario.hpp"
#include "sim/traffic.hpp"

namespace {

using namespace sim;

// Heartbeats arrive, answers and commands do not. Without a guard the leader would assign tasks to
// the machine again and again, for as long as the fault lasts.
TEST(UnacknowledgingMachine, GetsNoMoreWorkAndIsReturned) {
  Scenario scenario(21);
  for (int i = 0; i < 8; ++i) scenario.users.submit(array_job(4, 30));
  scenario.run_until(40);
  const auto machines = scenario.cloud.running_workers();
  ASSERT_FALSE(machines.empty());
  const auto& unacknowledging = machines.front();
  for (int i = 0; i < scenario.node_count(); ++i)
    scenario.network.set_one_way_drop(scenario.node_name(i), unacknowledging->id, true);
  std::map<std::string, int> ordered;
  scenario.network.alter_response = [&](const std::string&, const HttpRequest& request,
                                        HttpResponse& response) {
    if (!is_accepted_heartbeat(request, response)) return;
    if (Json::parse(request.body)["host"] != unacknowledging->id) return;
    const auto answer = Json::parse(response.body);
    for (const auto& command : answer["orders"]) {
      if (command["verb"] == "run") ++ordered[command["piece"].get<std::string>()];
    }
  };
  for (int i = 0; i < 60; ++i) {
    scenario.simulator.schedule(Seconds(i * 2),
                                [&scenario] { scenario.users.submit(array_job(6, 30)); });
  }
  scenario.run_until(200);
  EXPECT_TRUE(unacknowledging->terminated) << "still rented";
  EXPECT_LE(ordered.size(), 16U) << "so many starts were sent where none is heard";
  scenario.run_until(500);
  EXPECT_TRUE(scenario.checker.violations.empty()) << scenario.checker.report();
  for (const auto& id : scenario.users.job_ids()) {
    EXPECT_EQ(scenario.checker.final_stage(id), "done") << id;
  }
}

// Tasks of an array with a mistake fail by the dozen within a second. The machine is not at fault,
// and its other tasks stay. Guard: WorkerHealth::on_task_failed counts failures by pauses.
TEST(FailingJob, DoesNotQuarantineMachines) {
  Scenario scenario(63, 1);
  auto good = array_job(24, 300);
  good.workload.cpus = 1;
  good.workload.checkpoint_s = 5;
  good.workload.save_s = 1;
  const auto id = scenario.users.submit(good);
  scenario.run_until(60);
  ASSERT_EQ(scenario.checker.tasks_present(id), 24U);
  const auto before = scenario.checker.starts;
  auto bad = array_job(20, 30);
  bad.workload.cpus = 1;
  bad.workload.fails = true;
  bad.workload.image = "bad";
  const auto wrong = scenario.users.submit(bad);
  scenario.run_until(180);
  EXPECT_GT(scenario.checker.starts, before + 10) << "the job with a mistake was never tried";
  EXPECT_EQ(scenario.checker.starts_of(id), 24U) << "its tasks were stopped and started again";
  scenario.users.cancel(wrong);
  scenario.run_until(200);
  EXPECT_EQ(scenario.checker.final_stage(wrong), "withdrawn");
  scenario.run_until(500);
  EXPECT_EQ(scenario.checker.final_stage(id), "done");
  EXPECT_TRUE(scenario.checker.violations.empty()) << scenario.checker.report();
}

// Jobs bound to one zone, arrays too, that lose machines there, with a new leader in between.
TEST(OneZoneJob, StaysInItsZoneWhenMachinesAreLost) {
  for (const std::uint64_t seed : {55, 56, 57}) {
    Scenario scenario(seed, 3, 3);
    for (int i = 0; i < 4; ++i) {
      auto job = array_job(6, 40);
      job.requirements.one_zone = true;
      job.requirements.spot = i % 2 == 0;
      job.workload.gang = i == 3;
      scenario.users.submit(job);
    }
    for (double t = 30; t < 120; t += 15) {
      scenario.simulator.schedule(Seconds(t), [&scenario] {
        const auto machines = scenario.cloud.running_workers();
        if (!machines.empty()) scenario.cloud.reclaim(machines.front()->id);
        if (machines.size() > 2) scenario.network.isolate(machines[1]->id);
        if (scenario.leader() >= 0) scenario.crash(scenario.leader(), 1);
      });
    }
    scenario.run_until(140);
    for (const auto& worker : scenario.cloud.running_workers())
      scenario.network.reconnect(worker->id);
    scenario.run_until(600);
    for (const auto& id : scenario.users.job_ids()) {
      EXPECT_EQ(scenario.checker.final_stage(id), "done") << id << " seed " << seed;
    }
    EXPECT_TRUE(scenario.checker.violations.empty()) << "seed " << seed << "\n"
                                                     << scenario.checker.report();
  }
}

// A machine of a gang is not returned while the others boot: gangs of several whole machines would
// never find them together.
TEST(WaitingGang, KeepsItsMachinesWhileOthersBoot) {
  Scenario scenario(24);
  auto job = array_job(12, 20);
  job.workload.gang = true;
  job.requirements.one_zone = true;
  job.requirements.zone = "south";
  // It needs three machines, and a rental brings one; the next rental follows 15 s later.
  scenario.cloud.rental_limit = 1;
  scenario.run_until(5);
  const auto id = scenario.users.submit(job);
  scenario.run_until(180);
  EXPECT_EQ(scenario.checker.final_stage(id), "done");
}

}  // namespace
