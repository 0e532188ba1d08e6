// Faulty machines and faulty jobs, and the placement constraints that must hold despite them.

#include <gtest/gtest.h>

#include "sim/scenario.hpp"
#include "sim/traffic.hpp"

namespace {

using namespace sim;

// A one-way partition: the machine's heartbeats arrive, but responses and commands do not reach it.
// Without a guard the leader would assign tasks to the machine again and again while the partition
// lasts.
TEST(OneWayPartitionedMachine, GetsNoMoreWorkAndIsReturned) {
  Scenario scenario(21);
  for (int i = 0; i < 8; ++i) scenario.users.submit(array_job(4, 30));
  scenario.run_until(40);
  const auto machines = scenario.cloud.running_workers();
  ASSERT_FALSE(machines.empty());
  const auto& unreachable = machines.front();
  for (int i = 0; i < scenario.node_count(); ++i)
    scenario.network.set_one_way_drop(scenario.node_name(i), unreachable->id, true);
  std::map<std::string, int> starts_by_task;
  scenario.network.alter_response = [&](const std::string&, const HttpRequest& request,
                                        HttpResponse& response) {
    if (!is_accepted_heartbeat(request, response)) return;
    if (Json::parse(request.body)["host"] != unreachable->id) return;
    const auto answer = Json::parse(response.body);
    for (const auto& command : answer["orders"]) {
      if (command["verb"] == "run") ++starts_by_task[command["piece"].get<std::string>()];
    }
  };
  for (int i = 0; i < 60; ++i) {
    scenario.simulator.schedule(Seconds(i * 2),
                                [&scenario] { scenario.users.submit(array_job(6, 30)); });
  }
  scenario.run_until(200);
  EXPECT_TRUE(unreachable->terminated) << "the machine has not been returned";
  EXPECT_LE(starts_by_task.size(), 16U) << "start commands were sent for too many tasks";
  scenario.run_until(500);
  EXPECT_TRUE(scenario.checker.violations.empty()) << scenario.checker.report();
  for (const auto& id : scenario.users.job_ids()) {
    EXPECT_EQ(scenario.checker.final_stage(id), "done") << id;
  }
}

// All tasks of a faulty array job fail, dozens of them within a second. The machine is healthy, so
// it must not be quarantined, and its other tasks must keep running. Guard:
// WorkerHealth::on_task_failed counts the failures during one pause once.
TEST(FailingJob, DoesNotQuarantineMachines) {
  Scenario scenario(63, 1);
  auto healthy_job = array_job(24, 300);
  healthy_job.workload.cpus = 1;
  healthy_job.workload.checkpoint_s = 5;
  healthy_job.workload.save_s = 1;
  const auto healthy_id = scenario.users.submit(healthy_job);
  scenario.run_until(60);
  ASSERT_EQ(scenario.checker.tasks_present(healthy_id), 24U);
  const auto starts_before = scenario.checker.starts;
  auto faulty_job = array_job(20, 30);
  faulty_job.workload.cpus = 1;
  faulty_job.workload.fails = true;
  faulty_job.workload.image = "bad";
  const auto faulty_id = scenario.users.submit(faulty_job);
  scenario.run_until(180);
  EXPECT_GT(scenario.checker.starts, starts_before + 10)
      << "too few tasks of the faulty job were started";
  EXPECT_EQ(scenario.checker.starts_of(healthy_id), 24U)
      << "tasks of the healthy job were restarted";
  scenario.users.cancel(faulty_id);
  scenario.run_until(200);
  EXPECT_EQ(scenario.checker.final_stage(faulty_id), "withdrawn");
  scenario.run_until(500);
  EXPECT_EQ(scenario.checker.final_stage(healthy_id), "done");
  EXPECT_TRUE(scenario.checker.violations.empty()) << scenario.checker.report();
}

// Jobs that must run in one zone, arrays and a gang, lose machines there while the leader crashes
// repeatedly. Their tasks must not be restarted in another zone.
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

// A gang needs several whole machines, which boot one after the other. If the leader returned the
// first machine as idle while the others boot, the gang would never start.
TEST(WaitingGang, KeepsItsMachinesWhileOthersBoot) {
  Scenario scenario(24);
  auto job = array_job(12, 20);
  job.workload.gang = true;
  job.requirements.one_zone = true;
  job.requirements.zone = "south";
  // The gang needs three machines. Each rental provides one, and the next rental follows 15 s
  // later.
  scenario.cloud.rental_limit = 1;
  scenario.run_until(5);
  const auto id = scenario.users.submit(job);
  scenario.run_until(180);
  EXPECT_EQ(scenario.checker.final_stage(id), "done");
}

}  // namespace
