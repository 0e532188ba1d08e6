#include "base/settings.hpp"

#include <toml++/toml.h>

#include <algorithm>
#include <fstream>
#include <sstream>

namespace asterstair {
namespace {

constexpr double kBytesPerMegabyte = 1024.0 * 1024.0;
constexpr double kLargestNumber = 1e9;  // beyond any machine, rate or time that is meant
constexpr std::size_t kDefaultConnections = 1024;
constexpr std::size_t kDefaultMemory = std::size_t{64} * 1024 * 1024;
// When a leader falls silent the workers should have found its successor before their leases run
// out. Where leases are too short for that in any case, a long grant outlasts more outages, and a
// majority replaces the leader sooner.
constexpr Duration kMinLeaderTtl = 10s, kMaxLeaderTtl = 20s;

[[noreturn]] void fail(const std::string& field, const std::string& why) {
  throw SettingsError("settings: " + field + ": " + why);
}

std::string text(const toml::table& t, const std::string& where, std::string_view key) {
  auto v = t[key].value<std::string>();
  if (!v || v->empty()) fail(where + std::string(key), "a non-empty string is needed");
  return *v;
}

double number(const toml::table& t, const std::string& where, std::string_view key, double least) {
  const auto v = t[key].value<double>();
  if (!v || !(*v >= least) || *v > kLargestNumber) {
    fail(where + std::string(key), "a number of at least " + std::to_string(least) + " is needed");
  }
  return *v;
}

double optional_number(const toml::table& t, const std::string& where, std::string_view key) {
  return t.contains(key) ? number(t, where, key, 0) : 0.0;
}

std::string address(const toml::table& t, const std::string& where, std::string_view key) {
  auto v = text(t, where, key);
  const auto colon = v.rfind(':');
  int port = 0;
  if (colon != std::string::npos) {
    try {
      port = std::stoi(v.substr(colon + 1));
    } catch (const std::exception&) {
      port = 0;
    }
  }
  if (colon == 0 || port < 1 || port > 65535) {
    fail(where + std::string(key), "an address like 10.0.0.1:8080 is needed");
  }
  return v;
}

const toml::table& section(const toml::table& t, const std::string& where, std::string_view key) {
  const auto* s = t[key].as_table();
  if (s == nullptr) fail(where + std::string(key), "this section is missing");
  return *s;
}

template <typename F>
void each_table(const toml::table& t, const std::string& where, std::string_view key, F f) {
  const auto node = t[key];
  if (!node) return;
  const auto* list = node.as_array();
  if (list == nullptr) fail(where + std::string(key), "a list of tables is needed");
  for (const auto& item : *list) {
    const auto* table = item.as_table();
    if (table == nullptr) fail(where + std::string(key), "a list of tables is needed");
    f(*table);
  }
}

Duration span(const toml::table& t, const std::string& where, std::string_view key) {
  return to_duration(Seconds(number(t, where, key, 0.001)));
}

toml::table parse_toml(std::string_view toml_text) {
  try {
    return toml::parse(toml_text);
  } catch (const toml::parse_error& e) {
    std::ostringstream out;
    out << "settings: line " << e.source().begin.line << ": " << e.description();
    throw SettingsError(out.str());
  }
}

void read_node(const toml::table& root, Settings& s) {
  s.node = text(root, "", "node");
  s.zone = text(root, "", "zone");
  s.api_address = address(root, "", "api_addr");
  s.peer_address = address(root, "", "cluster_listen");
  each_table(root, "", "siblings", [&](const toml::table& t) {
    s.peers.push_back({text(t, "siblings.", "node"), text(t, "siblings.", "zone"),
                       address(t, "siblings.", "address")});
  });
  const auto& external = section(root, "", "external");
  s.cloud_address = address(external, "external.", "cloud");
  s.state_address = address(external, "external.", "state");
}

void read_zones(const toml::table& cluster, Settings& s) {
  if (const auto* zones = cluster["zones"].as_array()) {
    for (const auto& z : *zones) {
      const auto name = z.value<std::string>();
      if (!name) fail("cluster.zones", "a list of names is needed");
      s.zones.push_back(*name);
    }
  }
  if (s.zones.empty()) fail("cluster.zones", "a list of names is needed");
}

void read_teams(const toml::table& cluster, Settings& s) {
  each_table(cluster, "cluster.", "teams", [&](const toml::table& t) {
    const std::string where = "cluster.teams.";
    TeamSettings team{text(t, where, "name"), optional_number(t, where, "cpus"),
                      optional_number(t, where, "cpus_max"), optional_number(t, where, "gpus"),
                      optional_number(t, where, "gpus_max")};
    s.teams[team.name] = team;
  });
}

void read_objectives(const toml::table& cluster, Settings& s) {
  each_table(cluster, "cluster.", "objectives", [&](const toml::table& t) {
    const std::string where = "cluster.objectives.";
    s.objectives.push_back({text(t, where, "kind"), t["class"].value_or(std::string()),
                            Seconds(optional_number(t, where, "within_s")),
                            optional_number(t, where, "share")});
  });
}

void read_workers(const toml::table& cluster, Settings& s) {
  const auto& workers = section(cluster, "cluster.", "workers");
  s.heartbeat_interval = span(workers, "cluster.workers.", "report_s");
  s.lease = span(workers, "cluster.workers.", "lease_s");
  s.gang_wait = span(workers, "cluster.workers.", "gang_wait_s");
  s.gang_peer = span(workers, "cluster.workers.", "gang_peer_s");
  s.cancel_within = span(workers, "cluster.workers.", "cancel_s");
}

void read_services(const toml::table& cluster, Settings& s) {
  const auto& state = section(cluster, "cluster.", "state");
  s.state_rps = number(state, "cluster.state.", "rps", 1);
  s.state_write_rps = number(state, "cluster.state.", "write_rps", 1);
  s.value_bytes = static_cast<std::size_t>(number(state, "cluster.state.", "value_kb", 1) * 1024);
  s.txn_ops = static_cast<std::size_t>(number(state, "cluster.state.", "txn_ops", 4));
  const auto& cloud = section(cluster, "cluster.", "cloud");
  s.cloud_rps = number(cloud, "cluster.cloud.", "rps", 0.01);
  s.list_lag = to_duration(Seconds(number(cloud, "cluster.cloud.", "list_lag_s", 0)));
}

void read_limits(const toml::table& cluster, Settings& s) {
  s.max_connections = kDefaultConnections;
  s.memory_bytes = kDefaultMemory;
  const auto* limits = cluster["machine_limits"].as_table();
  if (limits == nullptr) return;
  const std::string where = "cluster.machine_limits.";
  if (limits->contains("max_connections")) {
    s.max_connections = static_cast<std::size_t>(number(*limits, where, "max_connections", 16));
  }
  if (limits->contains("ram_mb")) {
    s.memory_bytes =
        static_cast<std::size_t>(number(*limits, where, "ram_mb", 1) * kBytesPerMegabyte);
  }
  if (limits->contains("cpu_share")) {
    s.cpu_share = std::min(1.0, number(*limits, where, "cpu_share", 0.001));
  }
}

}  // namespace

std::vector<std::string> limits_too_small(const Settings& s) {
  std::vector<std::string> out;
  if (s.memory_bytes < kLeastMemory) {
    out.push_back("cluster.machine_limits.ram_mb is less than a node needs, " +
                  std::to_string(kLeastMemory / static_cast<std::size_t>(kBytesPerMegabyte)));
  }
  if (s.cpu_share < kLeastCpuShare) {
    out.push_back("cluster.machine_limits.cpu_share is less than a node needs, " +
                  std::to_string(kLeastCpuShare));
  }
  return out;
}

Settings parse_settings(std::string_view toml_text) {
  const toml::table root = parse_toml(toml_text);
  Settings s;
  read_node(root, s);
  const auto& cluster = section(root, "", "cluster");
  read_zones(cluster, s);
  read_teams(cluster, s);
  read_objectives(cluster, s);
  read_workers(cluster, s);
  read_services(cluster, s);
  read_limits(cluster, s);
  leader_ttl(s);  // refuses times with which no leader would be safe
  return s;
}

Settings load_settings(const std::string& path) {
  std::ifstream in(path);
  if (!in) throw SettingsError("settings: cannot read " + path);
  std::ostringstream text;
  text << in.rdbuf();
  return parse_settings(text.str());
}

Duration max_view_staleness(const Settings& s) {
  // For drift on both terms, the worker's own timer and the steps in between.
  const Duration slack = std::max<Duration>(2s, s.heartbeat_interval);
  const auto drifted = to_duration(Seconds(seconds(s.lease) * (1 + 2 * kClockDrift)));
  const Duration limit = s.cancel_within - drifted - slack;
  if (limit < 2s) {
    fail("cluster.workers.cancel_s",
         "must exceed lease_s by at least 4 s and by report_s and 2 s, so that a leader cut off "
         "from the state service stops in time");
  }
  return limit;
}

Duration leader_ttl(const Settings& s) {
  const Duration room = max_view_staleness(s);
  const Duration in_time = s.lease * 3 / 5;
  return std::min(room,
                  in_time >= kMinLeaderTtl ? std::min(in_time, kMaxLeaderTtl) : kMaxLeaderTtl);
}

}  // namespace asterstair
