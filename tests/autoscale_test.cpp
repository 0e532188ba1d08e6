// The autoscaler's calculation of the machines that waiting jobs need.

#include <gtest/gtest.h>

#include "autoscale/desired_machines.hpp"

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
  std::vector<DesiredMachines> desired_for(
      const std::vector<leader::Demand>& demands,
      const std::map<std::string, PendingMachine>& pending = {}) {
    return desired_machines(demands, pending,
                            {catalog, [this](const Pool& pool) { return refused.count(pool) != 0; },
                             [this](const Pool& pool) { return pool.spot ? spot_loss : 1e-6; }});
  }
  cloud::Catalog catalog;
  std::set<Pool> refused;
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

}  // namespace
