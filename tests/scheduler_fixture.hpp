#pragma once
/// @file
/// Fixture for tests of the planner and of preemption.

#include <gtest/gtest.h>

#include <memory>
#include <set>
#include <string>
#include <vector>

#include "sched/loss.hpp"
#include "sched/planner.hpp"

namespace test_support {

using namespace asterstair;
using namespace asterstair::sched;

/// A snapshot with two teams and no quotas. Tests add machines and jobs.
class SchedulerFixture : public testing::Test {
 protected:
  SchedulerFixture() {
    cpu = {"cpu", 16, 0, 64, 50, 1, 1, 0.3, Seconds(10), {"a", "b"}};
    gpu = {"gpu", 16, 2, 64, 50, 1, 5, 1.5, Seconds(10), {"a", "b"}};
    snapshot.teams["t"];
    snapshot.teams["u"];
  }
  /// Adds a machine without tasks.
  void machine(const MachineType& type, const std::string& zone, bool spot = false,
               const std::set<std::string>* images = nullptr) {
    PlanMachine planned;
    planned.ref = snapshot.machines.size();
    planned.type = &type;
    planned.zone = zone;
    planned.spot = spot;
    planned.free = {type.cpus, type.gpus, type.memory_gb};
    planned.loss_rate = kLossFloorPerSecond;
    planned.images = images;
    snapshot.machines.push_back(planned);
  }
  /// Adds a job of team "t" whose tasks are all waiting.
  JobSpec& job(std::uint32_t tasks, double cpus, JobKind kind = JobKind::Array) {
    specs.push_back(std::make_unique<JobSpec>());
    JobSpec& spec = *specs.back();
    spec.id = "req-" + std::to_string(specs.size());
    spec.team = "t";
    spec.kind = kind;
    spec.tasks = tasks;
    spec.cpus = cpus;
    spec.memory_gb = 1;
    spec.image = "i";
    spec.image_gb = 1;
    spec.spot = true;
    PlanJob planned;
    planned.ref = snapshot.jobs.size();
    planned.job = &spec;
    planned.waiting = tasks;
    planned.remaining = Seconds(60);
    planned.slack = 100;
    snapshot.jobs.push_back(planned);
    return spec;
  }
  /// Returns how many of the job's tasks the plan places.
  std::uint32_t placed(const Plan& plan, std::size_t job_ref) {
    std::uint32_t tasks = 0;
    for (const auto& p : plan.placements) tasks += p.job == job_ref ? p.tasks : 0;
    return tasks;
  }
  MachineType cpu, gpu;
  Snapshot snapshot;
  std::vector<std::unique_ptr<JobSpec>> specs;
  Rng rng{1};
};

}  // namespace test_support
