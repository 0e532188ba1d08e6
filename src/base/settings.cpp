#include "base/settings.hpp"

#include <algorithm>

#include "base/toml_file.hpp"
#include "base/toml_reader.hpp"

namespace asterstair {
namespace {

constexpr double kBytesPerKilobyte = 1024.0;
constexpr double kBytesPerMegabyte = 1024.0 * 1024.0;

// Limits of a node whose settings do not set them.
constexpr std::size_t kDefaultConnections = 1024;
constexpr std::size_t kDefaultMemory = std::size_t{64} * 1024 * 1024;

// Minimum values of settings; a file with a smaller value is rejected.
constexpr double kMinTime = 0.001;      // s
constexpr double kMinStateRate = 1;     // per s
constexpr double kMinCloudRate = 0.01;  // per s
constexpr double kMinValueKb = 1;
constexpr double kMinTxnOps = 4;
constexpr double kMinConnections = 16;
constexpr double kMinRamMb = 1;
constexpr double kMinCpuShare = 0.001;

void read_node(const TomlReader& root, Settings& settings) {
  settings.node = root.text("node");
  settings.zone = root.text("zone");
  settings.api_address = root.address("api_addr");
  settings.peer_address = root.address("cluster_listen");
  root.for_each_table("siblings", [&](const TomlReader& peer) {
    settings.peers.push_back({peer.text("node"), peer.text("zone"), peer.address("address")});
  });
  const auto external = root.section("external");
  settings.cloud_address = external.address("cloud");
  settings.state_address = external.address("state");
}

void read_teams(const TomlReader& cluster, Settings& settings) {
  cluster.for_each_table("teams", [&](const TomlReader& table) {
    TeamSettings team;
    team.name = table.text("name");
    team.cpus = table.optional_number("cpus");
    team.cpus_max = table.optional_number("cpus_max");
    team.gpus = table.optional_number("gpus");
    team.gpus_max = table.optional_number("gpus_max");
    settings.teams[team.name] = team;
  });
}

void read_objectives(const TomlReader& cluster, Settings& settings) {
  cluster.for_each_table("objectives", [&](const TomlReader& table) {
    Objective objective;
    objective.kind = table.text("kind");
    objective.job_class = table.optional_text("class");
    objective.within = Seconds(table.optional_number("within_s"));
    objective.share = table.optional_number("share");
    settings.objectives.push_back(objective);
  });
}

void read_workers(const TomlReader& cluster, Settings& settings) {
  const auto workers = cluster.section("workers");
  settings.heartbeat_interval = workers.time("report_s", kMinTime);
  settings.lease = workers.time("lease_s", kMinTime);
  settings.gang_wait_timeout = workers.time("gang_wait_s", kMinTime);
  settings.gang_peer_timeout = workers.time("gang_peer_s", kMinTime);
  settings.cancel_within = workers.time("cancel_s", kMinTime);
}

void read_state_service(const TomlReader& cluster, Settings& settings) {
  const auto state = cluster.section("state");
  settings.state_rps = state.number("rps", kMinStateRate);
  settings.state_write_rps = state.number("write_rps", kMinStateRate);
  settings.value_bytes =
      static_cast<std::size_t>(state.number("value_kb", kMinValueKb) * kBytesPerKilobyte);
  settings.txn_ops = static_cast<std::size_t>(state.number("txn_ops", kMinTxnOps));
}

void read_cloud(const TomlReader& cluster, Settings& settings) {
  const auto cloud = cluster.section("cloud");
  settings.cloud_rps = cloud.number("rps", kMinCloudRate);
  settings.list_lag = cloud.time("list_lag_s", 0);
}

void read_limits(const TomlReader& cluster, Settings& settings) {
  settings.max_connections = kDefaultConnections;
  settings.memory_bytes = kDefaultMemory;
  const auto limits = cluster.optional_section("machine_limits");
  if (!limits) return;
  if (limits->has("max_connections")) {
    settings.max_connections =
        static_cast<std::size_t>(limits->number("max_connections", kMinConnections));
  }
  if (limits->has("ram_mb")) {
    settings.memory_bytes =
        static_cast<std::size_t>(limits->number("ram_mb", kMinRamMb) * kBytesPerMegabyte);
  }
  if (limits->has("cpu_share")) {
    settings.cpu_share = std::min(1.0, limits->number("cpu_share", kMinCpuShare));
  }
}

}  // namespace

std::vector<std::string> limits_too_small(const Settings& settings) {
  std::vector<std::string> lines;
  if (settings.memory_bytes < kMinRecommendedMemory) {
    lines.push_back(
        "cluster.machine_limits.ram_mb is below the recommended minimum of " +
        std::to_string(kMinRecommendedMemory / static_cast<std::size_t>(kBytesPerMegabyte)));
  }
  if (settings.cpu_share < kMinRecommendedCpuShare) {
    lines.push_back("cluster.machine_limits.cpu_share is below the recommended minimum of " +
                    std::to_string(kMinRecommendedCpuShare));
  }
  return lines;
}

// Reads the sections in a fixed order; the error names the first invalid field in this order.
Settings parse_settings(std::string_view toml_text) {
  const toml::table table = parse_toml(toml_text, "settings");
  const TomlReader root(table, "");
  Settings settings;
  read_node(root, settings);
  const auto cluster = root.section("cluster");
  settings.zones = cluster.names("zones");
  read_teams(cluster, settings);
  read_objectives(cluster, settings);
  read_workers(cluster, settings);
  read_state_service(cluster, settings);
  read_cloud(cluster, settings);
  read_limits(cluster, settings);
  leader_ttl(settings);  // rejects timings with which no leader is safe
  return settings;
}

Settings load_settings(const std::string& path) {
  const auto text = read_text_file(path);
  if (!text) throw SettingsError("settings: cannot read " + path);
  return parse_settings(*text);
}

}  // namespace asterstair
