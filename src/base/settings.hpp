#pragma once
// The platform's settings file.

#include <map>
#include <stdexcept>
#include <string>
#include <vector>

#include "base/time.hpp"

namespace asterstair {

// 0 means no guarantee or no limit.
struct TeamSettings {
  std::string name;
  double cpus = 0, cpus_max = 0, gpus = 0, gpus_max = 0;
};

struct Peer {
  std::string node, zone, address;
};

struct Objective {
  std::string kind, job_class;
  Seconds within{0};
  double share = 0;
};

struct Settings {
  std::string node, zone, api_address, peer_address;
  std::vector<Peer> peers;
  std::string cloud_address, state_address;
  std::vector<std::string> zones;
  std::map<std::string, TeamSettings> teams;
  std::vector<Objective> objectives;
  Duration heartbeat_interval{}, lease{}, gang_wait{}, gang_peer{}, cancel_within{};
  double state_rps = 0, state_write_rps = 0;
  std::size_t value_bytes = 0, txn_ops = 0;
  double cloud_rps = 0;
  Duration list_lag{};
  std::size_t max_connections = 0;
  double cpu_share = 1;  // of one core
  std::size_t memory_bytes = 0;

  std::size_t nodes() const { return peers.size() + 1; }
};

// Names the offending field in one line.
struct SettingsError : std::runtime_error {
  using std::runtime_error::runtime_error;
};

// What a node with a small fleet needs at the least; with less it may end for memory, or be too
// slow to keep its leadership.
inline constexpr std::size_t kLeastMemory = std::size_t{16} * 1024 * 1024;
inline constexpr double kLeastCpuShare = 0.01;

// The limits of the settings that are too small to work in, one line each.
std::vector<std::string> limits_too_small(const Settings& settings);

Settings parse_settings(std::string_view toml_text);
Settings load_settings(const std::string& path);

// How old the leader's view of the live jobs may be, counted from when it was asked for, while it
// answers heartbeats. Each answer may renew a lease, so a cancellation that it cannot see yet takes
// effect within this and a lease; see "Why cancelled tasks end in time" in docs/design.md.
Duration max_view_staleness(const Settings& settings);

// How long the leader's grant lives. Long enough to ride out ordinary trouble of the state
// service, short enough that a leader cut off from the store loses its lease validity, and its
// workers their leases, before a cancellation it could not see must have taken effect.
Duration leader_ttl(const Settings& settings);

}  // namespace asterstair
