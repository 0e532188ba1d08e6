#pragma once
/// @file
/// The settings file (TOML) of a node.

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
  /// Cores and accelerators: the guaranteed number, and the maximum in use (`_max`). 0 means no
  /// guarantee or no limit.
  double cpus = 0, cpus_max = 0, gpus = 0, gpus_max = 0;
};

/// Another node of the cluster.
struct Peer {
  std::string node;
  std::string zone;
  /// Address on which it listens for gossip.
  std::string address;
};

/// Service-level objective set by the operator.
struct Objective {
  /// Kind: `finished` and `wait` apply to the jobs of a class, `guarantee` to guaranteed work.
  /// Other kinds are ignored.
  std::string kind;
  /// Class of the jobs to which it applies; empty if it applies to no class.
  std::string job_class;
  /// Time limit for meeting it; 0 if it has none.
  Seconds within{0};
  /// Share of the jobs that must meet it; 0 if not set.
  double share = 0;
};

/// Contents of the settings file. Read once at startup; all components hold a reference to it.
struct Settings {
  /// This node's name, unique in the cluster.
  std::string node;
  /// This node's zone.
  std::string zone;
  /// Addresses on which this node listens: for users and workers, and for gossip.
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
  /// Worker lease: within this time after its last answered heartbeat, a worker that gets no
  /// further answers stops all its tasks.
  Duration lease{};
  /// Time that a task of a gang waits for the gang's other tasks.
  Duration gang_wait_timeout{};
  /// Time within which the tasks of a gang detect the loss of one of them.
  Duration gang_peer_timeout{};
  /// Time within which the tasks of a cancelled job must have ended.
  Duration cancel_within{};
  /// Rate limits of the state service for all nodes together: requests and writes per second.
  double state_rps = 0, state_write_rps = 0;
  /// Maximum size of a value in the state service, in bytes.
  std::size_t value_bytes = 0;
  /// Maximum number of operations in one transaction of the state service.
  std::size_t txn_ops = 0;
  /// Rate limit of the cloud, in calls per second.
  double cloud_rps = 0;
  /// Maximum delay until the cloud's machine list shows a rental or a return.
  Duration list_lag{};
  /// Maximum number of open connections of this node.
  std::size_t max_connections = 0;
  /// Share of one core that this node may use; at most 1.
  double cpu_share = 1;
  /// Memory that this node may use, in bytes.
  std::size_t memory_bytes = 0;

  /// Returns the number of nodes in the cluster, this one included.
  std::size_t nodes() const { return peers.size() + 1; }
};

/// Reports an invalid settings or features file. The message is one line and names the field.
struct SettingsError : std::runtime_error {
  using std::runtime_error::runtime_error;
};

/// Recommended minimum memory of a node with few machines, in bytes. A node with less may run out
/// of memory.
inline constexpr std::size_t kMinRecommendedMemory = std::size_t{16} * 1024 * 1024;
/// Recommended minimum share of a core. A node with less may be too slow to keep its leadership.
inline constexpr double kMinRecommendedCpuShare = 0.01;

/// Returns one line of text for each limit in the settings that is below the recommended minimum.
/// app::serve() logs them.
std::vector<std::string> limits_too_small(const Settings& settings);

/// Parses the text of a settings file. Throws SettingsError.
Settings parse_settings(std::string_view toml_text);

/// Reads and parses a settings file. Throws SettingsError.
Settings load_settings(const std::string& path);

/// Returns the staleness bound of the leader's view of the live jobs: the maximum time after the
/// request for the view during which the leader may answer heartbeats from it. Throws SettingsError
/// if no bound satisfies the settings.
///
/// Each answer may renew a worker's lease. A cancellation that the view does not show yet therefore
/// takes effect within this bound plus one lease; see "Why cancelled tasks end in time" in
/// docs/design.md.
Duration max_view_staleness(const Settings& settings);

/// Returns the time to live of the leader's store lease. Throws SettingsError if no value satisfies
/// the settings.
///
/// It is long enough to outlast ordinary outages of the state service. It is short enough that a
/// leader cut off from the state service loses its lease, and its workers lose theirs, before the
/// deadline of any cancellation that the leader could not see.
Duration leader_ttl(const Settings& settings);

}  // namespace asterstair
