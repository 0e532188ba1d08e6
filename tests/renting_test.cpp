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

}  // namespace
