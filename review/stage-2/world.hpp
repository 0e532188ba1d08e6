#pragma once
// The stand-ins of the platform, as PROTOCOL describes them: state service, cloud, workers, users.

#include <cstdint>
#include <cstdio>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "net.hpp"

namespace stage {

using Json = nlohmann::json;

// Writes record.txt: a line for each event, with the seconds since the start.
class Record {
 public:
  Record(Loop& loop, const std::string& file) : loop_(loop), out_(std::fopen(file.c_str(), "w")) {
    if (out_ == nullptr) throw std::runtime_error("cannot write " + file);
  }
  ~Record() { std::fclose(out_); }
  Record(const Record&) = delete;
  Record& operator=(const Record&) = delete;
  void line(const std::string& text) {
    std::fprintf(out_, "%8.3f %s\n", loop_.now(), text.c_str());
    std::fflush(out_);
  }

 private:
  Loop& loop_;
  std::FILE* out_;
};

// The times and limits of the settings file.
struct Timing {
  double report_s = 2, lease_s = 10, gang_wait_s = 45, gang_peer_s = 4, cancel_s = 40;
  double state_rps = 120, state_write_rps = 30;
  int value_kb = 8, txn_ops = 16;
  double cloud_rps = 8, list_lag_s = 6;
};

class Bucket {
 public:
  explicit Bucket(double rate) : rate_(rate), tokens_(rate) {}
  bool take(double amount, double now) {
    tokens_ = std::min(burst_seconds * rate_, tokens_ + rate_ * (now - last_));
    last_ = now;
    if (tokens_ < amount) return false;
    tokens_ -= amount;
    return true;
  }
  double burst_seconds = 1;

 private:
  double rate_, tokens_, last_ = 0;
};

// The state service. Each controller reaches it at a port of its own, so that it can refuse one.
class StateService {
 public:
  StateService(Loop& loop, Record& record, const Timing& timing, int nodes);
  int port(int node) const { return servers_.at(static_cast<std::size_t>(node))->port(); }
  // Cuts the service off from the node, or ends the cut.
  void set_cut(int node, bool cut) { servers_.at(static_cast<std::size_t>(node))->set_cut(cut); }
  // Holds the node's requests back, or ends that.
  void set_held(int node, bool held) {
    servers_.at(static_cast<std::size_t>(node))->set_held(held);
  }
  // The node that holds the leader key; empty if the key does not exist.
  std::string leader() const;
  // From now on all requests of this node get 503, and its watches wait.
  void refuse(int node, bool on);
  std::uint64_t ledger() const { return ledger_; }
  // Called after each change, with the key and whether it was put.
  std::function<void(const std::string&, bool)> on_change;

 private:
  struct Item {
    Json value;
    std::uint64_t stamp = 0, hold = 0;
  };
  struct Change {
    std::string key;
    std::uint64_t stamp;
    std::optional<Json> value;
  };
  struct Grant {
    double ttl, ends;
  };
  struct Watch {
    int node;
    std::string prefix;
    std::uint64_t since;
    double ends;
    Respond respond;
  };

  void handle(int node, const Request& request, const Respond& respond);
  Response answer(const Request& request);
  Response list(const std::map<std::string, std::string>& query) const;
  Response transact(const std::string& body);
  Response grant(const Request& request);
  void put(const std::string& key, const std::optional<Json>& value, std::uint64_t hold);
  void expire_grants();
  void end_grant(std::uint64_t id);
  void answer_watches();
  bool answer_watch(const Watch& watch, bool timed_out);
  void tick();

  Loop& loop_;
  Record& record_;
  const Timing timing_;
  Bucket requests_, writes_;
  std::vector<std::unique_ptr<Server>> servers_;
  std::vector<bool> refused_;
  std::map<std::string, Item> items_;
  std::map<std::uint64_t, Grant> grants_;
  std::deque<Change> changes_;
  std::vector<Watch> watches_;
  std::uint64_t ledger_ = 1, next_grant_ = 1;
};

struct MachineType {
  std::string name;
  double cores = 0, accelerators = 0, ram_gb = 0, cache_gb = 50, fetch_gb_per_s = 1;
  double price = 1, spot_price = 0.3, ready_s = 50;
  std::vector<std::string> zones;
};

// A job as its user has submitted it.
struct Job {
  Json body;
  std::string ref() const { return body["ref"]; }
  int pieces() const { return body["pieces"]; }
  double number(const char* key) const { return body[key]; }
  bool gang() const { return body["shape"] == "ensemble"; }
  double run_s = 10;  // true run time of a task
  std::map<int, double> saved;
  std::set<int> done;
};

class World;

class Worker : public std::enable_shared_from_this<Worker> {
 public:
  Worker(World& world, std::string id, const MachineType& type, std::string zone, bool spot);
  void start();
  void vanish();  // the machine and all that is on it is gone
  std::string endpoint() const { return server_->address(); }
  bool has(const std::string& job) const;
  bool idle() const;

  const std::string id;
  const MachineType type;
  const std::string zone;
  const bool spot;
  bool gone = false;

 private:
  struct Task {
    std::string job;
    int index = 0;
    std::uint64_t attempt = 0;
    std::string stage = "pulling", cause;
    bool stored = false, present = false;
    double since = 0;     // when the stage began
    double progress = 0;  // seconds of run time
    double lost_for = 0;  // seconds since its running gang lost a task
  };
  friend class World;

  void tick();
  void report();
  void on_report_answer(const Response& response, double sent, std::uint64_t tenure);
  void request_report();
  void try_next_node();
  Json status();
  void handle(const Request& request, const Respond& respond);
  void apply(const Json& orders);
  void run(const std::string& piece, std::uint64_t attempt);
  void kill(Task& task, double leeway);
  void exit(Task& task, const std::string& cause);
  void fetch(double seconds);
  void advance(Task& task, double seconds);
  bool gang_running(const Task& task) const;
  bool gang_lost_a_task(const Task& task) const;
  std::string refusal(const std::string& job, int index, std::uint64_t attempt) const;

  World& world_;
  std::unique_ptr<Server> server_;
  std::vector<Task> tasks_;
  std::set<std::string> images_;
  std::map<std::string, double> fetched_gb_;
  std::size_t node_ = 0;
  std::uint64_t tenure_ = 1, tick_ = 0, baton_ = 0;
  double renewed_ = 0, last_report_ = -10, next_report_ = 0, last_tick_ = 0;
  double last_token_change_ = -1000;
  double answered_report_ = -1;  // when the report was sent whose answer is being carried out
  bool in_flight_ = false;
};

class Cloud {
 public:
  Cloud(World& world);
  int port(int node) const { return servers_.at(static_cast<std::size_t>(node))->port(); }
  void set_cut(int node, bool cut) { servers_.at(static_cast<std::size_t>(node))->set_cut(cut); }
  void set_held(int node, bool held) {
    servers_.at(static_cast<std::size_t>(node))->set_held(held);
  }
  // A machine that has been up since before the start.
  std::string add_running(const std::string& type, const std::string& zone, bool spot);
  // Takes the machine back without notice.
  void take(const std::string& id);
  std::size_t rental_requests(const std::string& type) const;

  std::vector<MachineType> types;
  std::map<std::string, int> capacity;  // by "type zone spot|ordinary"; the rest is unlimited
  double boot_s = 10;                   // actual boot time
  double fetch_factor = 1;              // actual rate of image fetches, to the published one
  std::map<std::string, std::shared_ptr<Worker>> workers;

 private:
  struct Machine {
    std::string type, zone;
    bool spot = false;
    double rented = 0, up = 0, gone = 1e18;
  };
  void handle(const Request& request, const Respond& respond);
  Response rent(const Json& body);
  Response return_machines(const Json& body);
  Response list(const std::map<std::string, std::string>& query) const;
  std::string add(const std::string& type, const std::string& zone, bool spot, double rented,
                  double up);
  int in_use(const std::string& pool) const;
  static std::string pool_of(const std::string& type, const std::string& zone, bool spot) {
    return type + " " + zone + (spot ? " spot" : " ordinary");
  }

  World& world_;
  Bucket requests_;
  std::vector<std::unique_ptr<Server>> servers_;  // one for each controller
  std::map<std::string, Machine> machines_;
  std::map<std::string, Json> granted_;
  std::map<std::string, std::size_t> requested_;
  int last_number_ = 0;
};

// The controllers' processes, and all around them.
class World {
 public:
  World(Loop& loop, Record& record, Timing timing, std::vector<std::string> command,
        std::string directory);
  ~World();
  World(const World&) = delete;
  World& operator=(const World&) = delete;

  void start_nodes(const std::string& teams, const std::string& objectives);
  void start_node(int node);
  void signal_node(int node, int signal);
  // Cuts a zone off from everything outside: its controller and its machines.
  void cut_zone(const std::string& zone);
  void end_cut();
  // Cuts the controller from the state service, the cloud and the other controllers, but not from
  // workers and users. Packets are held back, and delivered when the cut ends.
  void hold_node(int node, bool held);
  // The user's request to cancel the job goes to this controller first.
  void abort_at(int node, const std::string& ref,
                const std::function<void(std::string)>& answered) {
    next_node_ = node - 1;
    abort(ref, answered);
  }
  // Throws if a controller has ended by itself: then the case could not run.
  void check_nodes();

  // Users. Each request is repeated as PROTOCOL says.
  void submit(const std::shared_ptr<Job>& job, const std::function<void()>& accepted);
  void abort(const std::string& ref, const std::function<void(std::string)>& answered);
  // Polls the job every `interval` seconds until it is done or withdrawn.
  void poll(const std::string& ref, double interval);
  // The last stage that a poll showed.
  std::map<std::string, std::string> stage;

  Loop& loop;
  Record& record;
  const Timing timing;
  static constexpr int kNodes = 3;
  std::map<std::string, std::shared_ptr<Job>> jobs;  // as submitted
  StateService state;
  Cloud cloud;
  std::vector<int> api_ports;
  std::vector<std::string> names;
  const std::vector<std::string> zones = {"north", "south", "east"};  // of the controllers
  std::string cut_zone_name;                                          // empty: there is no cut
  std::vector<std::string> rules_broken;  // by the platform's own view, such as ran_twice
  // Called when a machine carries out a start from the answer to a report, with the time at which
  // the report was sent.
  std::function<void(const std::string& piece, const std::string& machine, double reported)>
      on_ordered;
  // Called when a task is on a machine (has its image), and when it starts to run.
  std::function<void(const std::string&job, int index, const std::string&machine)> on_present,
      on_running, on_done;
  // A number from 0 to 1.
  double draw() { return std::uniform_real_distribution<double>(0, 1)(random_); }
  // Machines on which each task is now: PROTOCOL, "How aims are counted".
  std::map<std::pair<std::string, int>, std::set<std::string>> present;

  // Kills the controllers and waits for their ends.
  void stop_nodes();

 private:
  // The next controller that users can reach.
  int next_node() {
    do {
      next_node_ = (next_node_ + 1) % kNodes;
    } while (zones[static_cast<std::size_t>(next_node_)] == cut_zone_name);
    return next_node_;
  }
  std::vector<std::string> command_;
  std::string directory_;
  std::vector<pid_t> processes_ = std::vector<pid_t>(kNodes, 0);
  std::vector<int> peer_ports_;
  std::map<std::pair<int, int>, std::unique_ptr<Proxy>> peer_links_;  // by sender and receiver
  int next_node_ = 0;
  std::mt19937_64 random_{std::random_device{}()};
};

}  // namespace stage
