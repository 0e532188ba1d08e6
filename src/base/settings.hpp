#pragma once
/// @file
/// The platform's settings file (TOML).

#include <map>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

#include "base/time.hpp"

namespace asterstair {

/// Quota of a team.
struct TeamSettings {
  std::string name;
  /// Cores and accelerators: guaranteed, and most in use (`_max`). 0: no guarantee or no limit.
  double cpus = 0, cpus_max = 0, gpus = 0, gpus_max = 0;
};

/// Another node.
struct Peer {
  std::string node;
  std::string zone;
  /// Address that it listens on for gossip.
  std::string address;
};

/// Service-level objective of the operator.
struct Objective {
  /// What it is about: `finished` and `wait` (jobs of a class), or `guarantee` (guaranteed work).
  /// Other kinds are ignored.
  std::string kind;
  /// Class of the jobs that it covers; empty if it covers no class.
  std::string job_class;
  /// Time in which it is to be met; 0: none.
  Seconds within{0};
  /// Share of the jobs for which it is to be met; 0: not stated.
  double share = 0;
};

/// Contents of the settings file. Read once at the start; every part holds a reference to it.
struct Settings {
  /// This node's name, which no other node has.
  std::string node;
  /// This node's zone.
  std::string zone;
  /// Address for users and workers, and address for gossip, on which this node listens.
  std::string api_address, peer_address;
  /// The other nodes.
  std::vector<Peer> peers;
  /// Addresses of the cloud and of the state service.
  std::string cloud_address, state_address;
  /// Zones in which machines may be rented; at least one.
  std::vector<std::string> zones;
  /// Teams by name.
  std::map<std::string, TeamSettings> teams;
  std::vector<Objective> objectives;
  /// Time between two heartbeats of a worker.
  Duration heartbeat_interval{};
  /// Time after its last answered heartbeat in which a worker stops all its tasks.
  Duration lease{};
  /// Time that a gang's task waits for the others.
  Duration gang_wait{};
  /// Time in which a gang's tasks learn that one of them was lost.
  Duration gang_peer{};
  /// Time in which a cancelled job's tasks must have ended.
  Duration cancel_within{};
  /// Rate limits of the state service on requests and changes per second, for all nodes together.
  double state_rps = 0, state_write_rps = 0;
  /// Largest value that the state service takes, in bytes.
  std::size_t value_bytes = 0;
  /// Most changes in one of its transactions.
  std::size_t txn_ops = 0;
  /// Rate limit of the cloud on calls per second.
  double cloud_rps = 0;
  /// Time after which the cloud's list shows what was rented and returned.
  Duration list_lag{};
  /// Most open connections of this node.
  std::size_t max_connections = 0;
  /// Share of one core that this node may use, up to 1.
  double cpu_share = 1;
  /// Memory that this node may use, in bytes.
  std::size_t memory_bytes = 0;

  /// Number of all nodes.
  std::size_t nodes() const { return peers.size() + 1; }
};

/// A settings or features file that cannot be used. Its text is one line and names the field.
struct SettingsError : std::runtime_error {
  using std::runtime_error::runtime_error;
};

/// Least memory of a node with a small fleet, in bytes; with less it may end for lack of it.
inline constexpr std::size_t kLeastMemory = std::size_t{16} * 1024 * 1024;
/// Least share of a core; with less a node may be too slow to keep its leadership.
inline constexpr double kLeastCpuShare = 0.01;

/// Returns one line for each limit in the settings that is too small to work in. `main` logs them.
std::vector<std::string> limits_too_small(const Settings& settings);

/// Parses the text of a settings file. Throws SettingsError.
Settings parse_settings(std::string_view toml_text);

/// Reads and parses a settings file. Throws SettingsError.
Settings load_settings(const std::string& path);

/// Returns the staleness bound of the leader's view of the live jobs: how long after it asked for
/// the view it may answer heartbeats from it. Throws SettingsError if the settings leave no room.
///
/// Each answer may renew a worker's lease, so that a cancellation which the view does not show yet
/// takes effect within this bound and a lease; see "Why cancelled tasks end in time" in
/// docs/design.md.
Duration max_view_staleness(const Settings& settings);

/// Returns the time to live of the leader's store lease. Throws SettingsError if the settings leave
/// no room.
///
/// It is long enough to outlast ordinary outages of the state service. It is short enough that a
/// leader cut off from the state service loses its lease validity, and its workers lose their
/// leases, before a cancellation that it could not see must have taken effect.
Duration leader_ttl(const Settings& settings);

}  // namespace asterstair
