// The autoscaler's calculation of the machines that waiting jobs need.

#include <gtest/gtest.h>

#include <random>

#include "autoscale/desired_machines.hpp"
#include "base/runtime.hpp"
#include "sched/constraints.hpp"

namespace {

using namespace asterstair;
using namespace asterstair::autoscale;

class MachineDemand : public testing::Test {
 protected:
  MachineDemand() {
    MachineType cpu{"cpu", 16, 0, 64, 50, 1, 1.6, 0.5, Seconds(10), {"a", "b"}};
    MachineType gpu{"gpu", 16, 2, 64, 50, 1, 6, 2, Seconds(10), {"a"}};
    catalog.set({cpu, gpu});
  }
  leader::Demand demand(std::uint32_t tasks, double cpus, double gpus, bool spot) {
    auto job = std::make_shared<JobSpec>();
    job->tasks = tasks;
    job->cpus = cpus;
    job->gpus = gpus;
    job->memory_gb = 1;
    job->spot = spot;
    return {job, tasks, Seconds(60), 100};
  }
  static JobSpec job_of(JobKind kind) {
    JobSpec job;
    job.kind = kind;
    job.tasks = 3;
    job.cpus = 4;
    job.memory_gb = 1;
    return job;
  }
  static leader::Demand demand_of(const JobSpec& job) {
    return {std::make_shared<JobSpec>(job), job.tasks, Seconds(60), 100};
  }
  std::vector<DesiredMachines> desired_for(
      const std::vector<leader::Demand>& demands,
      const std::map<std::string, PendingMachine>& pending = {}) {
    return desired_machines(
        demands, pending,
        {catalog, [this](const Pool& pool) { return refused.count(pool) != 0; },
         [this](const Pool& pool) { return pool.spot ? spot_loss : 1e-6; }, backlog});
  }
  cloud::Catalog catalog;
  std::set<Pool> refused;
  Seconds backlog{0};
  double spot_loss = 1e-5;
};

TEST_F(MachineDemand, RentsTheCheapestSuitableType) {
  const auto desired = desired_for({demand(16, 4, 0, true)});
  ASSERT_EQ(desired.size(), 1U);
  EXPECT_EQ(desired[0].type, "cpu");
  EXPECT_TRUE(desired[0].spot);
  EXPECT_EQ(desired[0].count, 4U);
  EXPECT_EQ(desired_for({demand(2, 4, 1, false)})[0].type, "gpu");
  EXPECT_FALSE(desired_for({demand(2, 4, 0, false)})[0].spot);
}

TEST_F(MachineDemand, WeighsExpectedLossesAgainstThePrice) {
  MachineType expensive{"cpu", 16, 0, 64, 50, 1, 0.8, 0.5, Seconds(10), {"a"}};
  catalog.set({expensive});
  EXPECT_TRUE(desired_for({demand(4, 4, 0, true)})[0].spot);
  spot_loss =
      0.1;  // a task of one minute is almost certainly lost; two runs at 0.5 cost more than 0.8
  EXPECT_FALSE(desired_for({demand(4, 4, 0, true)})[0].spot);
}

TEST_F(MachineDemand, CountsPendingMachines) {
  const std::map<std::string, PendingMachine> pending{{"n-1", {{"cpu", "a", false}, {}, {}}}};
  EXPECT_TRUE(desired_for({demand(4, 4, 0, false)}, pending).empty());
  EXPECT_EQ(desired_for({demand(5, 4, 0, false)}, pending)[0].count, 1U);
}

TEST_F(MachineDemand, PrefersFastBootingMachinesForUrgentJobs) {
  MachineType slow{"slow", 64, 8, 256, 50, 1, 6, 2, Seconds(60), {"a"}};
  catalog.set({slow});
  auto job_demand = demand(8, 4, 1, false);
  EXPECT_EQ(desired_for({job_demand})[0].type, "slow");
  job_demand.urgent = true;
  EXPECT_EQ(desired_for({job_demand})[0].type,
            "gpu");  // more expensive, but boots in 10 s instead of 60 s
}

TEST_F(MachineDemand, RentsFromOtherPoolsAfterARefusal) {
  refused = {{"cpu", "a", true}, {"cpu", "b", true}};
  const auto desired = desired_for({demand(4, 4, 0, true)});
  ASSERT_EQ(desired.size(), 1U);
  EXPECT_FALSE(desired[0].spot);
  refused.insert({"cpu", "a", false});
  refused.insert({"cpu", "b", false});
  EXPECT_TRUE(desired_for({demand(4, 4, 0, false)})
                  .empty());  // machines with accelerators are not used instead
}

// Jobs that need no accelerator were accepted, and no machine was ever rented for them, when only
// types with accelerators can hold them. Guard: Packing::may_waste_accelerators.
TEST_F(MachineDemand, RentsAcceleratorMachinesWhereNoOthersCanHoldTheJob) {
  for (const JobKind kind : {JobKind::Gang, JobKind::Array}) {
    auto by_memory = job_of(kind);
    by_memory.memory_gb = 200;
    auto by_type = job_of(kind);
    by_type.types = {"big"};
    auto by_zone = job_of(kind);
    by_zone.zone = "c";
    MachineType big{"big", 16, 4, 256, 50, 1, 9, 3, Seconds(10), {"a", "c"}};
    catalog.set({big});
    for (const auto& job : {by_memory, by_type, by_zone}) {
      for (const bool spot : {true, false}) {
        JobSpec allowed = job;
        allowed.spot = spot;
        ASSERT_TRUE(catalog.can_hold(allowed));
        const auto desired = desired_for({demand_of(allowed)});
        ASSERT_EQ(desired.size(), 1U);
        EXPECT_EQ(desired[0].type, "big");
        EXPECT_EQ(desired[0].spot, spot);
        for (const auto& zone : desired[0].zones)
          EXPECT_TRUE(!allowed.zone || *allowed.zone == zone);
      }
    }
  }
}

// As above, for a job whose tasks are all bound to the zone of those that are on machines.
TEST_F(MachineDemand, RentsInTheZonesThatTheJobsOtherTasksLeave) {
  auto job = job_of(JobKind::Array);
  job.one_zone = true;
  auto job_demand = demand_of(job);
  job_demand.in_zone = {{"b", 1}};
  ASSERT_EQ(desired_for({job_demand}).size(), 1U);
  EXPECT_EQ(desired_for({job_demand})[0].zones, std::vector<std::string>{"b"});
  job.one_zone = false;
  job.spread = true;
  job_demand = demand_of(job);
  job_demand.in_zone = {{"a", 2}};
  EXPECT_EQ(desired_for({job_demand})[0].zones, std::vector<std::string>{"b"});
}

// The pools without accelerators are refused for long: nobody may wait for them without end. Guard:
// Packing::may_waste_accelerators.
TEST_F(MachineDemand, RentsAcceleratorMachinesForOverdueJobsWhenOthersAreRefused) {
  for (const JobKind kind : {JobKind::Gang, JobKind::Array}) {
    auto job_demand = demand_of(job_of(kind));
    refused = {{"cpu", "a", false}, {"cpu", "b", false}};
    EXPECT_TRUE(desired_for({job_demand}).empty());
    job_demand.overdue = true;
    ASSERT_EQ(desired_for({job_demand}).size(), 1U);
    EXPECT_EQ(desired_for({job_demand})[0].type, "gpu");
    refused.clear();
    EXPECT_EQ(desired_for({job_demand})[0].type, "cpu");
  }
}

// A long backlog never makes accelerator machines preferable to others that the cloud has.
TEST_F(MachineDemand, PrefersMachinesWithoutUnneededAcceleratorsWhateverTheBacklog) {
  backlog = Seconds::max();
  EXPECT_EQ(desired_for({demand(4, 4, 0, false)})[0].type, "cpu");
  refused = {{"cpu", "a", false}, {"cpu", "b", false}};
  EXPECT_EQ(desired_for({demand(4, 4, 0, false)})[0].type, "gpu");
}

// Admission, renting and placement rounded differently: a task of 64.00001 GB was accepted for
// machines of 64 GB, the number of machines to rent for it was infinite, and its starts were
// refused. Drawn jobs and catalogs, with needs at and just beyond what a machine has. Guard:
// base/amounts.hpp.
TEST_F(MachineDemand, AgreesWithAdmissionAndPlacementOnWhatCanRun) {
  Rng rng{47};
  const auto draw = [&](std::initializer_list<double> values) {
    return *(values.begin() +
             std::uniform_int_distribution<std::size_t>(0, values.size() - 1)(rng));
  };
  std::size_t accepted = 0;
  for (int run = 0; run < 2000; ++run) {
    auto job = job_of(draw({0, 1}) > 0 ? JobKind::Gang : JobKind::Array);
    job.cpus = draw({0, 0.1, 4, 16, 16 + 2e-7, 16.00001, 17});
    job.gpus = draw({0, 0, 1, 2, 2.00001, 3});
    job.memory_gb = draw({1, 64, 64 + 2e-7, 64.00001, 65});
    job.spot = draw({0, 1}) > 0;
    job.one_zone = draw({0, 1}) > 0;
    if (draw({0, 1}) > 0) job.zone = draw({0, 1}) > 0 ? "a" : "b";
    if (draw({0, 1, 2}) > 1) job.types = {draw({0, 1}) > 0 ? "cpu" : "gpu"};
    const auto desired = desired_for({demand_of(job)});
    ASSERT_EQ(catalog.can_hold(job), !desired.empty()) << "run " << run;
    if (desired.empty()) continue;
    ++accepted;
    EXPECT_LE(desired[0].count, job.tasks);
    const MachineType* type = catalog.find(desired[0].type);
    for (const auto& zone : desired[0].zones) {
      sched::PlanMachine machine;
      machine.type = type;
      machine.zone = zone;
      machine.spot = desired[0].spot;
      EXPECT_TRUE(sched::allowed_on(job, machine)) << "run " << run;
      const sched::Resources empty{type->cpus, type->gpus, type->memory_gb};
      EXPECT_TRUE(sched::fits(job, empty)) << "run " << run;
      EXPECT_GE(sched::tasks_that_fit(job, empty), 1U) << "run " << run;
    }
  }
  EXPECT_GT(accepted, 100U);
}

}  // namespace
