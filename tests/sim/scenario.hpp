#pragma once
// A complete deployment in simulated time.

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "node/node.hpp"
#include "sim/cloud.hpp"
#include "sim/environment.hpp"
#include "sim/key_value_store.hpp"
#include "sim/settings_text.hpp"
#include "sim/sim_runtime.hpp"
#include "sim/user_client.hpp"

namespace sim {

/// A complete deployment: nodes that run the real library code, and a simulated state service,
/// cloud, workers and users. The rule checker observes the run and checks it after each event.
class Scenario {
 public:
  /// A controller node. Both pointers are null while its process is down.
  struct Process {
    std::unique_ptr<SimRuntime> runtime;
    std::unique_ptr<Node> node;
    int incarnation = 0;  ///< number of boots; requests to an earlier process are ignored
  };

  static constexpr std::size_t kPools = 12;  ///< number of machine pools of the cloud

  /// Boots all nodes. Each of the cloud's pools has `machines_per_pool` machines.
  explicit Scenario(std::uint64_t seed, std::size_t machines_per_pool = 3, int node_count = 3,
                    const Timing& timing = {}, const Features& features = {true},
                    double value_kb = kDefaultValueKb);

  /// The number of nodes, whether they run or not.
  int node_count() const { return static_cast<int>(nodes.size()); }
  /// The node's name, which is also its host in the network.
  const std::string& node_name(int node) const;
  /// The address of the node's API.
  const std::string& node_address(int node) const;
  /// The index of the node with this name; -1 if there is none.
  int node_named(const std::string& name) const;
  /// The index of a random node.
  int random_node();
  /// The first node, other than `except`, that considers itself the leader; -1 if there is none.
  int leader(int except = -1) const;
  /// The node's process.
  Process& process(int node) { return nodes[static_cast<std::size_t>(node)]; }
  /// The node's process.
  const Process& process(int node) const { return nodes[static_cast<std::size_t>(node)]; }

  /// Runs the simulation until `end`, in seconds since the run began.
  void run_until(double end) { simulator.run_until(end); }

  /// Runs the simulation until a node other than `except` considers itself the leader, at most
  /// until `end`. Returns that node; -1 if there is none.
  int run_until_led(double end, int except = -1);

  /// Cancels a job once, through the node after this one, like a user who gets no answer from this
  /// one and retries elsewhere.
  void cancel_through_next_node(int node, const std::string& id);

  // ---- Faults ----

  /// Crashes the node's process and boots it again after `down_s` seconds. Does nothing if it is
  /// down.
  void crash(int node, double down_s);
  /// Pauses the node's process for `seconds`. Requests that it has sent stay in transit, and
  /// messages to it are handled when it resumes.
  void freeze(int node, double seconds);
  /// Sets whether messages between the node and its peers, and between the node and the state
  /// service, are lost. Workers and users still reach it.
  void set_control_plane_drop(int node, bool on);
  /// Sets whether messages between all pairs of nodes are lost.
  void set_gossip_drop(bool on);
  /// Sets whether the worker's messages to all nodes are lost, so that no heartbeat arrives.
  void set_heartbeat_drop(const std::string& machine, bool on);
  /// Sets whether all nodes' messages to the worker are lost, so that no response or command
  /// arrives.
  void set_command_drop(const std::string& machine, bool on);

  Simulator simulator;
  Network network;
  Features features;
  Timing timing;
  double value_kb;
  NodeList node_list;
  JobStates jobs;
  RuleChecker checker;
  KeyValueStore store;
  Cloud cloud;
  UserClient users;
  std::vector<Process> nodes;
  std::uint64_t heartbeats = 0;  ///< received by all nodes
  /// Observes each gossip message as it is sent, if set.
  std::function<void(const std::string& from, const std::string& to, const std::string& message)>
      on_peer_message;

 private:
  void boot(int node);
  void send_gossip(int from, const std::string& to, std::string message);
  void check_waiting_jobs_periodically();
};

}  // namespace sim
