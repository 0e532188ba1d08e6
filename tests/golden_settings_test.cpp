// Literal settings and features files. Guards against a field that is renamed, no longer read, or
// read with a different unit.

#include <gtest/gtest.h>

#include "base/features.hpp"
#include "base/settings.hpp"

namespace {

using namespace asterstair;

TEST(SettingsFile, EveryFieldIsRead) {
  const auto settings = parse_settings(R"(
node = "ghat-0"
zone = "a"
api_addr = "10.0.0.1:8080"
cluster_listen = "10.0.0.1:8081"
[[siblings]]
node = "ghat-1"
zone = "b"
address = "10.0.0.2:8081"
[external]
cloud = "10.2.0.2:8443"
state = "10.2.0.1:2379"
[cluster]
zones = ["a", "b"]
[[cluster.teams]]
name = "red"
cpus = 16.0
cpus_max = 40.0
gpus = 2.0
gpus_max = 4.0
[[cluster.objectives]]
kind = "finished"
class = "train"
within_s = 150.0
share = 0.94
[cluster.workers]
report_s = 2.0
lease_s = 10.0
gang_wait_s = 60.0
gang_peer_s = 5.0
cancel_s = 40.0
[cluster.state]
rps = 120.0
write_rps = 40.0
value_kb = 8.0
txn_ops = 8
[cluster.cloud]
rps = 4.0
list_lag_s = 5.0
[cluster.machine_limits]
cpu_share = 0.1
ram_mb = 64.0
max_connections = 800
)");
  EXPECT_EQ(settings.node, "ghat-0");
  EXPECT_EQ(settings.zone, "a");
  EXPECT_EQ(settings.api_address, "10.0.0.1:8080");
  EXPECT_EQ(settings.peer_address, "10.0.0.1:8081");
  ASSERT_EQ(settings.peers.size(), 1U);
  EXPECT_EQ(settings.peers[0].node, "ghat-1");
  EXPECT_EQ(settings.peers[0].zone, "b");
  EXPECT_EQ(settings.peers[0].address, "10.0.0.2:8081");
  EXPECT_EQ(settings.cloud_address, "10.2.0.2:8443");
  EXPECT_EQ(settings.state_address, "10.2.0.1:2379");
  EXPECT_EQ(settings.zones, (std::vector<std::string>{"a", "b"}));
  const auto& team = settings.teams.at("red");
  EXPECT_EQ(team.name, "red");
  EXPECT_EQ(team.cpus, 16);
  EXPECT_EQ(team.cpus_max, 40);
  EXPECT_EQ(team.gpus, 2);
  EXPECT_EQ(team.gpus_max, 4);
  ASSERT_EQ(settings.objectives.size(), 1U);
  EXPECT_EQ(settings.objectives[0].kind, "finished");
  EXPECT_EQ(settings.objectives[0].job_class, "train");
  EXPECT_EQ(settings.objectives[0].within, Seconds(150));
  EXPECT_EQ(settings.objectives[0].share, 0.94);
  EXPECT_EQ(settings.heartbeat_interval, 2s);
  EXPECT_EQ(settings.lease, 10s);
  EXPECT_EQ(settings.gang_wait_timeout, 60s);
  EXPECT_EQ(settings.gang_peer_timeout, 5s);
  EXPECT_EQ(settings.cancel_within, 40s);
  EXPECT_EQ(settings.state_rps, 120);
  EXPECT_EQ(settings.state_write_rps, 40);
  EXPECT_EQ(settings.value_bytes, 8192U);
  EXPECT_EQ(settings.txn_ops, 8U);
  EXPECT_EQ(settings.cloud_rps, 4);
  EXPECT_EQ(settings.list_lag, 5s);
  EXPECT_EQ(settings.cpu_share, 0.1);
  EXPECT_EQ(settings.memory_bytes, 64U * 1024 * 1024);
  EXPECT_EQ(settings.max_connections, 800U);
}

TEST(FeaturesFile, EveryFeatureIsReadUnderItsCurrentAndFormerNames) {
  for (const char* const name : {"durable_provisioning", "machine_duties"}) {
    const std::string section = "[features]\n" + std::string(name);
    EXPECT_TRUE(parse_features(section + " = true\n").durable_provisioning) << name;
    EXPECT_FALSE(parse_features(section + " = false\n").durable_provisioning) << name;
  }
}

}  // namespace
