// Machines are rented for every accepted job, whichever types, zones and kinds of machines can hold
// it, also when none is up.

#include <gtest/gtest.h>

#include "sim/scenario.hpp"

namespace {

using namespace sim;

// A job without accelerators that only machines with accelerators may run.
Submission job_for_accelerator_machines(bool gang, const std::string& zone, bool spot) {
  auto job = array_job(2, 20);
  job.workload.gang = gang;
  job.workload.cpus = 8;  // a whole machine
  job.requirements.types = {"g2"};
  job.requirements.zone = zone;
  job.requirements.spot = spot;
  return job;
}

// No machine was rented for a job that needs no accelerator and fits only types with some: for a
// gang never, and for an array not while no machine was up. Guard: Packing::may_waste_accelerators.
TEST(Renting, BringsUpTheOnlyTypeThatHoldsTheJob) {
  for (const bool gang : {true, false}) {
    for (const std::string zone : {"", "south"}) {
      for (const bool spot : {true, false}) {
        Scenario scenario(161);
        scenario.run_until(10);
        const auto id = scenario.users.submit(job_for_accelerator_machines(gang, zone, spot));
        scenario.run_until(35);
        ASSERT_EQ(scenario.checker.tasks_present(id), 2U)
            << (gang ? "gang" : "array") << ", zone " << zone << ", spot " << spot;
        // The cloud takes all of them back, and has others to give.
        for (const auto& worker : scenario.cloud.running_workers()) {
          scenario.cloud.reclaim(worker->id);
        }
        scenario.run_until(110);
        EXPECT_EQ(scenario.checker.final_stage(id), "done")
            << (gang ? "gang" : "array") << ", zone " << zone << ", spot " << spot;
        EXPECT_TRUE(scenario.checker.violations.empty()) << scenario.checker.report();
      }
    }
  }
}

// A job whose tasks each fill a machine, with constraints on their zones.
Submission whole_machine_job(std::uint32_t tasks, bool gang) {
  auto job = array_job(tasks, 20);
  job.workload.gang = gang;
  job.workload.cpus = 16;
  job.requirements.spot = true;
  return job;
}

// No pool has enough machines for a gang that must be in one zone, wherever that is: the spot and
// the on-demand machines of a zone are needed together. A gang that must be spread finds room only
// in two zones. Each must be brought up from nothing, and others that are there must not hinder it.
TEST(Renting, BringsUpGangsThatNeedSeveralPools) {
  for (const std::uint64_t seed : {162, 163, 164}) {
    for (const bool one_zone : {true, false}) {
      Scenario scenario(seed, 3, 3);
      scenario.run_until(10);
      auto job = whole_machine_job(one_zone ? 5 : 8, true);
      job.requirements.one_zone = one_zone;
      job.requirements.spread = !one_zone;
      const auto id = scenario.users.submit(job);
      scenario.run_until(250);
      EXPECT_EQ(scenario.checker.final_stage(id), "done")
          << (one_zone ? "one zone" : "spread") << ", seed " << seed;
      EXPECT_TRUE(scenario.checker.violations.empty()) << scenario.checker.report();
    }
  }
}

}  // namespace
