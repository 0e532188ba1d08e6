// The autoscaler's pure part: how many machines the waiting work calls for.

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
  std::vector<DesiredMachines> want(const std::vector<leader::Demand>& d,
                                    const std::map<std::string, PendingMachine>& pending = {}) {
    return desired_machines(d, pending,
                            {catalog, [this](const Pool& p) { return refused.count(p) != 0; },
                             [this](const Pool& p) { return p.spot ? spot_loss : 1e-6; }});
  }
  cloud::Catalog catalog;
  std::set<Pool> refused;
  double spot_loss = 1e-5;
};

TEST_F(MachineDemand, RentsTheCheapestTypeThatServes) {
  const auto w = want({demand(16, 4, 0, true)});
  ASSERT_EQ(w.size(), 1U);
  EXPECT_EQ(w[0].type, "cpu");
  EXPECT_TRUE(w[0].spot);
  EXPECT_EQ(w[0].count, 4U);
  EXPECT_EQ(want({demand(2, 4, 1, false)})[0].type, "gpu");
  EXPECT_FALSE(want({demand(2, 4, 0, false)})[0].spot);
}

TEST_F(MachineDemand, WeighsLossesAgainstThePrice) {
  MachineType dear{"cpu", 16, 0, 64, 50, 1, 0.8, 0.5, Seconds(10), {"a"}};
  catalog.set({dear});
  EXPECT_TRUE(want({demand(4, 4, 0, true)})[0].spot);
  spot_loss = 0.1;  // a minute's task is as good as lost: twice 0.5 is more than 0.8
  EXPECT_FALSE(want({demand(4, 4, 0, true)})[0].spot);
}

TEST_F(MachineDemand, CountsPendingMachines) {
  const std::map<std::string, PendingMachine> pending{{"n-1", {{"cpu", "a", false}, {}, {}}}};
  EXPECT_TRUE(want({demand(4, 4, 0, false)}, pending).empty());
  EXPECT_EQ(want({demand(5, 4, 0, false)}, pending)[0].count, 1U);
}

TEST_F(MachineDemand, PrefersRunningMachinesForUrgentWork) {
  MachineType slow{"slow", 64, 8, 256, 50, 1, 6, 2, Seconds(60), {"a"}};
  catalog.set({slow});
  auto d = demand(8, 4, 1, false);
  EXPECT_EQ(want({d})[0].type, "slow");
  d.urgent = true;
  EXPECT_EQ(want({d})[0].type, "gpu");  // dearer, and up after 10 s
}

TEST_F(MachineDemand, RentsElsewhereAfterARefusal) {
  refused = {{"cpu", "a", true}, {"cpu", "b", true}};
  const auto w = want({demand(4, 4, 0, true)});
  ASSERT_EQ(w.size(), 1U);
  EXPECT_FALSE(w[0].spot);
  refused.insert({"cpu", "a", false});
  refused.insert({"cpu", "b", false});
  EXPECT_TRUE(want({demand(4, 4, 0, false)}).empty());  // not onto accelerator machines
}

}  // namespace
