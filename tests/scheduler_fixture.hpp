#pragma once

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

/// A snapshot of two teams, to which tests add machines and jobs.
class SchedulerFixture : public testing::Test {
 protected:
  SchedulerFixture() {
    cpu = {"cpu", 16, 0, 64, 50, 1, 1, 0.3, Seconds(10), {"a", "b"}};
    gpu = {"gpu", 16, 2, 64, 50, 1, 5, 1.5, Seconds(10), {"a", "b"}};
    s.teams["t"];
    s.teams["u"];
  }
  /// Adds an empty machine.
  void machine(const MachineType& type, const std::string& zone, bool spot = false,
               const std::set<std::string>* images = nullptr) {
    PlanMachine m;
    m.ref = s.machines.size();
    m.type = &type;
    m.zone = zone;
    m.spot = spot;
    m.free = {type.cpus, type.gpus, type.memory_gb};
    m.loss_rate = kLossFloorPerSecond;
    m.images = images;
    s.machines.push_back(m);
  }
  /// Adds a job whose tasks all wait.
  JobSpec& job(std::uint32_t tasks, double cpus, JobKind kind = JobKind::Array) {
    specs.push_back(std::make_unique<JobSpec>());
    JobSpec& j = *specs.back();
    j.id = "req-" + std::to_string(specs.size());
    j.team = "t";
    j.kind = kind;
    j.tasks = tasks;
    j.cpus = cpus;
    j.memory_gb = 1;
    j.image = "i";
    j.image_gb = 1;
    j.spot = true;
    PlanJob p;
    p.ref = s.jobs.size();
    p.job = &j;
    p.waiting = tasks;
    p.remaining = Seconds(60);
    p.slack = 100;
    s.jobs.push_back(p);
    return j;
  }
  /// How many of the job's tasks the plan places.
  std::uint32_t placed(const Plan& plan, std::size_t job_ref) {
    std::uint32_t n = 0;
    for (const auto& p : plan.placements) n += p.job == job_ref ? p.tasks : 0;
    return n;
  }
  MachineType cpu, gpu;
  Snapshot s;
  std::vector<std::unique_ptr<JobSpec>> specs;
  Rng rng{1};
};

}  // namespace test_support
