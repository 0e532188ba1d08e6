#pragma once
// Controllers as real processes on loopback, with the simulated services of tests/sim.

#include <sys/types.h>
#include <uv.h>

#include <array>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "net/http_client.hpp"
#include "net/http_server.hpp"
#include "sim/cloud.hpp"
#include "sim/environment.hpp"
#include "sim/key_value_store.hpp"
#include "sim/user_client.hpp"

namespace load {

using namespace sim;

/// Three controller processes with the simulated services of tests/sim: state service, cloud,
/// workers and users. Simulated time follows the steady clock. HTTP on loopback connects both
/// sides: a request to a node's address in the simulated network is forwarded to the node's
/// process, and each simulated service that nodes call has an HTTP server that forwards requests to
/// the simulated network. Gossip is sent directly between the processes.
///
/// Simulated time catches up with the clock before a message enters the simulation. So a worker
/// whose lease has expired ends its tasks before any worker reads a new command, even if this
/// process was delayed.
class RealDeployment {
 public:
  static constexpr int kNodes = 3;  ///< number of controllers
  /// Number of ports that a deployment may use, starting at its first port.
  static constexpr int kPorts = 500;

  /// Starts the servers of the simulated services. Settings and logs are written to `directory`,
  /// which must exist.
  RealDeployment(std::string directory, std::string features_file, int first_port);
  /// Kills the processes.
  ~RealDeployment();
  RealDeployment(const RealDeployment&) = delete;
  RealDeployment& operator=(const RealDeployment&) = delete;

  /// Starts the node with this binary, after killing its process if there is one.
  void start(int node, const std::string& binary);
  /// Kills the node's process.
  void kill(int node);
  /// The node that answered a worker's heartbeat with the highest fencing token so far; -1 if that
  /// node was killed, or if no heartbeat was accepted yet.
  int leader() const { return leader_; }

  /// Runs the deployment until the condition holds. Returns false if it does not hold within
  /// `limit_s`. Throws std::runtime_error if a process exits unexpectedly.
  bool wait_for(const std::function<bool()>& condition, double limit_s);

  /// Submits a job through this node and retries until it is accepted. Returns the job's id.
  std::string submit(const Submission& job, int node);
  /// Cancels a job through this node and retries until the cancellation is confirmed.
  void cancel(const std::string& id, int node);
  /// Whether the node reports that it is ready.
  bool is_ready(int node);
  /// The node's answer to a query for a job; null unless its status is 200.
  Json ask(int node, const std::string& id);

  /// The last lines of the nodes' logs.
  std::string log_ends() const;

  Simulator simulator{1};  ///< its clock follows the steady clock
  Network network{simulator};
  const Timing timing;
  const NodeList node_list;
  JobStates jobs;
  RuleChecker checker;
  KeyValueStore store;
  Cloud cloud;
  UserClient users;

 private:
  std::string file_of(int node, const std::string& suffix) const;
  void write_settings(int node) const;
  std::string on_loopback(std::string text) const;
  void advance();
  void schedule_clock_tick();
  void run_for(Duration time);
  void check_processes();
  void serve(const std::string& simulated_address, const std::string& address);
  void serve_new_workers();
  void forward_to_node(int node, const HttpRequest& request, const Respond& respond);
  void note_leader(int node, const HttpRequest& request, const HttpResponse& response);
  int node_for(const HttpRequest& request);
  HttpResponse get(int node, const std::string& target);

  const std::string directory_, features_file_;
  const int first_port_;
  const TimePoint began_;
  uv_loop_t loop_{};
  uv_timer_t timer_{};
  std::unique_ptr<net::HttpClient> client_;
  std::vector<std::unique_ptr<net::HttpServer>> servers_;
  std::set<std::string> served_workers_;   // by address
  std::array<pid_t, kNodes> processes_{};  // 0: none
  std::map<std::string, int> node_of_job_;
  int next_node_ = 0, leader_ = -1;
  std::uint64_t leader_token_ = 0;
};

}  // namespace load
