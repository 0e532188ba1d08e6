#pragma once
// Controllers as real processes on loopback, among the stand-ins of tests/sim.

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

/// Three controller processes, and the stand-ins of tests/sim for all around them. Simulated time
/// follows the steady clock, and HTTP on loopback joins both sides: what a stand-in sends to a
/// node's address in the simulated network goes to the process, and each stand-in that nodes call
/// has a server, which passes requests to the simulated network. Gossip goes between the processes.
///
/// Before a message enters the simulation, simulated time catches up with the clock. So a worker
/// whose lease has run out ends its tasks before it or any other worker reads a new command, even
/// if this process was held up.
class RealDeployment {
 public:
  static constexpr int kNodes = 3;
  /// Ports that a deployment may use, from its first one.
  static constexpr int kPorts = 500;

  /// Listens for the stand-ins. Settings and logs go into `directory`, which must exist.
  RealDeployment(std::string directory, std::string features_file, int first_port);
  /// Ends the processes.
  ~RealDeployment();
  RealDeployment(const RealDeployment&) = delete;
  RealDeployment& operator=(const RealDeployment&) = delete;

  /// Starts the node with this build of the program.
  void start(int node, const std::string& binary);
  /// Kills the node's process.
  void kill(int node);
  /// The node whose answer to a worker's heartbeat had the highest fencing token; -1 if that node
  /// was killed, or if there was none yet.
  int leader() const { return leader_; }

  /// Runs everything until the condition holds. False if it does not within `limit_s`. Throws
  /// std::runtime_error if a process has ended by itself.
  bool wait_for(const std::function<bool()>& condition, double limit_s);

  /// Submits a job through this node, and repeats that until it is accepted. Returns its id.
  std::string submit(const Submission& job, int node);
  /// Cancels a job through this node, and repeats that until it is answered.
  void cancel(const std::string& id, int node);
  /// Whether the node says that it can take requests.
  bool is_ready(int node);
  /// What the node answers about a job; null if it does not answer 200.
  Json ask(int node, const std::string& id);

  /// The last lines of the nodes' logs.
  std::string log_ends() const;

  Simulator simulator{1};
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
  void keep_time();
  void run_for(Duration time);
  void check_processes();
  void serve(const std::string& simulated_address, const std::string& address);
  void serve_new_workers();
  void pass_to_node(int node, const HttpRequest& request, const Respond& respond);
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
