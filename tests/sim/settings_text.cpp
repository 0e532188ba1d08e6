#include "sim/settings_text.hpp"

#include <array>
#include <cstdio>

namespace sim {

namespace {

std::string to_one_decimal(double value) {
  char text[32];
  std::snprintf(text, sizeof text, "%.1f", value);
  return text;
}

std::string zone_of(int node) {
  constexpr std::array kZones{"north", "south", "east"};
  return kZones.at(static_cast<std::size_t>(node) % kZones.size());
}

std::string name_of(int node) { return "ghat-" + std::to_string(node); }

std::string host_of(int node) { return "10.0.0." + std::to_string(node + 1); }

}  // namespace

std::string settings_text(int node, int nodes, const Timing& timing, double value_kb) {
  const double rps = 120, write_rps = 40;
  std::string out = "node = \"" + name_of(node) + "\"\nzone = \"" + zone_of(node) +
                    "\"\napi_addr = \"" + host_of(node) + ":8080\"\ncluster_listen = \"" +
                    host_of(node) + ":8081\"\n";
  for (int i = 0; i < nodes; ++i) {
    if (i == node) continue;
    out += "[[siblings]]\nnode = \"" + name_of(i) + "\"\nzone = \"" + zone_of(i) +
           "\"\naddress = \"" + host_of(i) + ":8081\"\n";
  }
  out += R"(
[external]
cloud = "10.2.0.2:8443"
state = "10.2.0.1:2379"
[cluster]
count = )" +
         std::to_string(nodes) + R"(
zones = ["north", "south", "east"]
clock_off_ms = 500.0
[[cluster.teams]]
name = "red"
cpus = 16.0
cpus_max = 40.0
gpus_max = 4.0
[[cluster.teams]]
name = "blue"
[cluster.workers]
report_s = )" +
         to_one_decimal(timing.report_s) + "\nlease_s = " + to_one_decimal(timing.lease_s) +
         "\ngang_wait_s = " + to_one_decimal(timing.gang_wait_s) +
         "\ngang_peer_s = " + to_one_decimal(timing.gang_peer_s) +
         "\ncancel_s = " + to_one_decimal(timing.cancel_s) + R"(
[cluster.state]
rps = )" +
         std::to_string(rps) + "\nwrite_rps = " + std::to_string(write_rps) +
         "\nvalue_kb = " + to_one_decimal(value_kb) + R"(
txn_ops = 8
[cluster.cloud]
rps = 4.0
list_lag_s = 5.0
[cluster.machine_limits]
cpu_share = 0.1
ram_mb = 64.0
max_connections = 800
)";
  return out;
}

}  // namespace sim
