#pragma once
// Stand-ins for the review's cases: a state service, a cloud with workers, and users, on loopback
// addresses and the real clock, beside real controller processes. They follow PROTOCOL.

#include <sys/types.h>
#include <uv.h>

#include <cstdint>
#include <cstdio>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "net/http_client.hpp"
#include "net/http_server.hpp"

namespace review {

using Json = nlohmann::json;
using asterstair::HttpRequest;
using asterstair::HttpResponse;
using asterstair::net::HttpClient;
using asterstair::net::HttpServer;
using asterstair::net::Respond;

/// Settings of a deployment. The defaults are those of a small one.
struct Config {
  std::string binary = "target/asterstair";
  std::string features = "deploy/features.toml";
  std::string directory;  ///< for settings and logs
  std::string record;     ///< path of record.txt
  int nodes = 3;
  std::vector<std::string> zones{"escazu", "heredia", "cartago", "liberia"};
  double report_s = 3, lease_s = 20, gang_wait_s = 35, gang_peer_s = 4, cancel_s = 40;
  double state_rps = 150, state_write_rps = 30, value_kb = 8;
  int txn_ops = 8;
  double cloud_rps = 4, list_lag_s = 10;
  double cpu_share = 0.168, ram_mb = 98;
  int max_connections = 1421;
  Json types;             ///< `flavors` of GET /machine_types
  Json teams;             ///< [{"name", "cpus", "cpus_max", "gpus", "gpus_max"}]
  Json next;              ///< `state.next` of the settings, if any: {"value_kb", "txn_ops", ...}
  double image_s = 0.05;  ///< time to fetch an image
};

/// Wall-clock seconds since the start of the test.
double now();

/// Writes a line to record.txt.
void record(const char* format, ...) __attribute__((format(printf, 1, 2)));

/// The state service. Rate limits are not enforced.
class StateService {
 public:
  struct Item {
    Json value;
    std::uint64_t version = 0;
    std::uint64_t hold = 0;
  };

  void handle(const HttpRequest& request, const Respond& respond);
  /// Ends leases whose time is over and watches that have waited long enough.
  void tick();
  const std::map<std::string, Item>& items() const { return items_; }
  std::size_t value_bytes = 8192;
  std::size_t max_changes = 8;
  std::size_t refused = 0;  ///< transactions answered 400 because they were too large

 private:
  struct Lease {
    double ttl = 0, expires = 0;
  };
  struct Change {
    std::uint64_t version;
    std::string key;
    bool dropped;
  };
  struct Watch {
    std::string prefix;
    std::uint64_t since;
    double until;
    Respond respond;
  };

  void get(const std::string& path, const Respond& respond) const;
  void list(const std::map<std::string, std::string>& query, const Respond& respond) const;
  void transact(const std::string& body, const Respond& respond);
  void put(const std::string& key, Json value, std::uint64_t hold);
  void drop(const std::string& key);
  void end_lease(std::uint64_t id);
  bool answer(Watch& watch, bool expired);

  std::map<std::string, Item> items_;
  std::map<std::uint64_t, Lease> leases_;
  std::deque<Change> changes_;
  std::deque<Watch> watches_;
  std::uint64_t ledger_ = 1, next_lease_ = 1;
};

/// Relays the connections from one controller to another. While it is cut, packets are held.
class Relay {
 public:
  Relay(uv_loop_t* loop, std::string target);
  int port() const { return port_; }
  void set_cut(bool cut);

 private:
  struct Pipe;

  void accept();
  static void read(Pipe* pipe);

  uv_loop_t* loop_;
  std::string target_;
  uv_tcp_t listener_{};
  int port_ = 0;
  bool cut_ = false;
  std::set<Pipe*> pipes_;
};

/// A task attempt on a worker.
struct Piece {
  std::string stage;  ///< pulling, running or exited
  std::string cause;
  double ready_at = 0, ends_at = 0;
};

struct Worker {
  std::string host, endpoint, flavor, yard;
  bool loaner = false;
  double up_at = 0;   ///< when the machine is up
  bool gone = false;  ///< stopped with all that was on it
  bool cut = false;   ///< has lost the network
  std::uint64_t tenure = 1, tick = 0, baton = 0;
  double renewed_at = 0;  ///< when the last answered report was sent
  double next_report = 0, last_report = -1;
  bool in_flight = false, changed = false;
  int node = 0;
  std::map<std::pair<std::string, std::uint64_t>, Piece> pieces;
  std::unique_ptr<HttpServer> server;
  std::size_t largest_report = 0;
};

class World {
 public:
  explicit World(Config config);
  ~World();
  World(const World&) = delete;
  World& operator=(const World&) = delete;

  /// Adds a machine that is up after `up_after` seconds.
  Worker& add_machine(const std::string& flavor, const std::string& yard, double up_after);
  void start_node(int node);
  void kill_node(int node);
  void signal_node(int node, int signal);
  /// Cuts a node from the state service and from the other nodes, or ends the cut. Its requests to
  /// the state service and the answers to them are lost; what nodes send one another is held.
  void cut_node(int node, bool cut);
  /// Writes a node's settings file again, with the present Config.
  void write_settings(int node) const;

  /// Runs until the condition holds or `limit_s` have passed. Returns whether it holds.
  bool wait_for(const std::function<bool()>& condition, double limit_s);
  void run_for(double seconds_to_run);

  /// The node that last answered a report with the highest token; -1: none.
  int leader() const { return leader_; }
  std::uint64_t token() const { return token_; }
  /// The most memory that the node's process has held so far, in MB.
  double peak_memory_mb(int node) const;
  /// A node whose process has ended by itself; -1: none.
  int ended_node();

  /// Sends a request to a node's address for users and waits for the answer.
  HttpResponse ask(int node, const std::string& method, const std::string& target,
                   const std::string& body = "", double timeout_s = 5);
  /// Submits until the job is accepted. Returns whether it was within 60 s.
  bool submit(const Json& job, int node);

  /// Machines on which the task is now, between its image's arrival and its end.
  std::vector<std::string> places_of(const std::string& piece) const;

  Config config;
  StateService state;
  std::map<std::string, std::unique_ptr<Worker>> workers;
  /// Seconds that a task runs. Called at each start.
  std::function<double(const std::string& piece)> run_time = [](const std::string&) { return 1e9; };
  std::map<std::string, std::set<std::string>> done;  ///< tasks that completed, by job
  std::set<std::string> begun;                        ///< jobs of which a task has run
  std::size_t starts = 0;
  std::vector<std::string> ran_twice;
  /// Called for each `run` that a worker carries out; `sent_at` is when the report was sent that
  /// the command answers, -1 for a direct command.
  std::function<void(const Worker&, const std::string& piece, double sent_at)> on_run;
  std::mt19937_64 rng;

 private:
  struct Node {
    std::string api, gossip;
    pid_t process = 0;
    bool cut = false;
    std::unique_ptr<HttpServer> state;           // the state service, as this node reaches it
    std::map<int, std::unique_ptr<Relay>> to{};  // by the other node
  };

  void step();
  void step_worker(Worker& worker);
  void send_report(Worker& worker);
  void on_report_answer(Worker& worker, double sent_at, std::uint64_t tenure,
                        const HttpResponse& response);
  std::string report_of(Worker& worker);
  void execute(Worker& worker, const Json& orders, double sent_at);
  void begin_piece(Worker& worker, const std::string& piece, std::uint64_t attempt, Piece& entry);
  void expire_session(Worker& worker);
  bool hangs(const Worker& worker) const;
  HttpResponse handle_orders(Worker& worker, const HttpRequest& request);
  HttpResponse handle_cloud(const HttpRequest& request);
  HttpResponse rent(const Json& body);
  HttpResponse list_machines(const std::string& target);
  double random(double from, double to);
  bool has_room(const Worker& worker, const std::string& job) const;

  uv_loop_t loop_{};
  uv_timer_t timer_{};
  std::unique_ptr<HttpClient> client_;
  std::vector<std::unique_ptr<HttpServer>> servers_;
  std::vector<Node> nodes_;
  std::map<std::string, Json> jobs_;                        // by id, as submitted
  std::map<std::string, std::vector<std::string>> rented_;  // by request
  int worker_port_ = 0;
  int machines_made_ = 0;
  int leader_ = -1;
  std::uint64_t token_ = 0;
};

/// Value of an environment variable, or `fallback`.
double setting(const char* name, double fallback);

}  // namespace review
