#pragma once
// A whole deployment in simulated time: three nodes of the real library code, and stand-ins for
// everything around them.

#include <memory>
#include <string>

#include "node/node.hpp"
#include "sim/allocations.hpp"
#include "sim/checker.hpp"
#include "sim/fleet.hpp"
#include "sim/state.hpp"
#include "sim/world.hpp"

namespace sim {

inline std::string tenths(double value) {
  char out[32];
  std::snprintf(out, sizeof out, "%.1f", value);
  return out;
}

inline std::string settings_text(int node, int nodes = 3, const Timing& timing = {}) {
  const double rps = 120, write_rps = 40;
  const std::array<const char*, 3> names{"north", "south", "east"};
  const auto zone = [&](int i) { return std::string(names.at(static_cast<std::size_t>(i) % 3)); };
  std::string out = "node = \"ghat-" + std::to_string(node) + "\"\nzone = \"" + zone(node) +
                    "\"\napi_addr = \"10.0.0." + std::to_string(node + 1) +
                    ":8080\"\ncluster_listen = \"10.0.0." + std::to_string(node + 1) + ":8081\"\n";
  for (int i = 0; i < nodes; ++i) {
    if (i == node) continue;
    out += "[[siblings]]\nnode = \"ghat-" + std::to_string(i) + "\"\nzone = \"" + zone(i) +
           "\"\naddress = \"10.0.0." + std::to_string(i + 1) + ":8081\"\n";
  }
  out += R"(
[external]
cloud = "10.2.0.2:8443"
state = "10.2.0.1:2379"
[cluster]
count = )" +
         std::to_string(nodes) + R"(
zones = ["north", "south", "east"]
clock_off_ms = 500.0
[[cluster.teams]]
name = "red"
cpus = 16.0
cpus_max = 40.0
gpus_max = 4.0
[[cluster.teams]]
name = "blue"
[cluster.workers]
report_s = )" +
         tenths(timing.report_s) + "\nlease_s = " + tenths(timing.lease_s) +
         "\ngang_wait_s = " + tenths(timing.gang_wait_s) +
         "\ngang_peer_s = " + tenths(timing.gang_peer_s) +
         "\ncancel_s = " + tenths(timing.cancel_s) + R"(
[cluster.state]
rps = )" +
         std::to_string(rps) + "\nwrite_rps = " + std::to_string(write_rps) + R"(
value_kb = 8.0
txn_ops = 8
[cluster.cloud]
rps = 4.0
list_lag_s = 5.0
[cluster.machine_limits]
cpu_share = 0.1
ram_mb = 64.0
max_connections = 800
)";
  return out;
}

class SimRuntime : public Runtime {
 public:
  SimRuntime(World& world, std::string host,
             std::function<void(const std::string&, std::string)> peer)
      : world_(world),
        host_(std::move(host)),
        rng_(world.rng()),
        peer_(std::move(peer)),
        speed_(world.uniform(0.9995, 1.0005)),
        wall_off_(world.uniform(-0.5, 0.5)) {}

  TimePoint now() const override {
    return TimePoint(
        to_duration(Seconds(seconds(world_.now().time_since_epoch()) * speed_ + offset_)));
  }
  WallTime wall() const override {
    return WallTime(std::chrono::duration_cast<WallTime::duration>(
        Seconds(1.7e9 + seconds(world_.now().time_since_epoch()) + wall_off_)));
  }
  Rng& rng() override { return rng_; }
  TimerId after(Duration delay, std::function<void()> action) override {
    const auto id = ++next_;
    timers_.insert(id);
    world_.at(delay, [this, alive = std::weak_ptr<int>(alive_), id, action = std::move(action)] {
      if (alive.expired()) return;
      when_awake([this, id, action] {
        if (timers_.erase(id) == 0) return;
        const auto before = allocations();
        action();
        timer_allocations += allocations().since(before).count;
      });
    });
    return id;
  }
  // From now on its steady clock runs at this speed.
  void set_speed(double speed) {
    offset_ += (speed_ - speed) * seconds(world_.now().time_since_epoch());
    speed_ = speed;
  }
  // Stands still for so long, and then goes on with all that has come meanwhile.
  void freeze(double seconds) { frozen_until_ = std::max(frozen_until_, world_.t() + seconds); }
  // Runs the action now, or once the process goes on.
  void when_awake(std::function<void()> action) {
    if (world_.t() >= frozen_until_) {
      action();
      return;
    }
    world_.at(to_duration(Seconds(frozen_until_ - world_.t() + 0.001)),
              [this, alive = std::weak_ptr<int>(alive_), action = std::move(action)] {
                if (!alive.expired()) when_awake(action);
              });
  }
  void cancel(TimerId id) override { timers_.erase(id); }
  std::uint64_t timer_allocations = 0;  // made by the node's own loops
  void http(const std::string& address, HttpRequest request, Duration timeout,
            HttpCallback done) override {
    world_.http(host_, address, std::move(request), timeout,
                [this, alive = std::weak_ptr<int>(alive_), done = std::move(done)](HttpResponse r) {
                  if (alive.expired()) return;
                  when_awake([done, r = std::move(r)] { done(r); });
                });
  }
  void send_peer(const std::string& node, std::string message) override {
    peer_(node, std::move(message));
  }

 private:
  World& world_;
  std::string host_;
  Rng rng_;
  std::function<void(const std::string&, std::string)> peer_;
  double speed_, wall_off_, offset_ = 0;
  double frozen_until_ = 0;
  std::uint64_t next_ = 0;
  std::set<std::uint64_t> timers_;
  std::shared_ptr<int> alive_ = std::make_shared<int>(0);
};

class Scenario {
 public:
  // Once a second, for as long as the run lasts.
  void watch_room() {
    world.at(1s, [this] {
      std::vector<Checker::Room> rooms;
      for (const auto& m : cloud.running()) {
        const auto free = m->free();
        if (m->hung() || m->sick) continue;
        rooms.push_back(
            {{m->id, free.type, m->zone, m->spot}, free.cpus, free.gpus, free.memory_gb});
      }
      checker.look_at_room(rooms, [this](const std::string& id) {
        const auto it = jobs.specs.find(id);
        return it == jobs.specs.end() ? 0.0 : it->second.memory_gb;
      });
      watch_room();
    });
  }

  explicit Scenario(std::uint64_t seed, std::size_t per_pool = 3, int node_count = 3,
                    const Timing& given = {}, const Features& switched_on = {true})
      : world(seed),
        features(switched_on),
        timing(given),
        checker(world, {{"red", {40, 4}}, {"blue", {0, 0}}}, given.cancel_s),
        state(world, "10.2.0.1:2379"),
        cloud(world, checker, jobs, timing, "10.2.0.2:8443", pools(per_pool), addresses(node_count),
              names(node_count)),
        nodes(static_cast<std::size_t>(node_count)) {
    world.after_step = [this] { checker.look(); };
    watch_room();
    for (int i = 0; i < node_count; ++i) boot(i);
  }

  static std::vector<std::string> addresses(int n) {
    std::vector<std::string> out;
    for (int i = 0; i < n; ++i) out.push_back("10.0.0." + std::to_string(i + 1) + ":8080");
    return out;
  }
  static std::vector<std::string> names(int n) {
    std::vector<std::string> out;
    for (int i = 0; i < n; ++i) out.push_back("ghat-" + std::to_string(i));
    return out;
  }
  int count() const { return static_cast<int>(nodes.size()); }
  std::string name(int i) const { return names(count())[static_cast<std::size_t>(i)]; }
  std::string address(int i) const { return addresses(count())[static_cast<std::size_t>(i)]; }
  int any_node() { return static_cast<int>(world.uniform(0, count() - 0.001)); }
  static constexpr std::size_t kPools = 12;  // as many as pools() makes
  static std::vector<PoolSpec> pools(std::size_t n) {
    std::vector<PoolSpec> out;
    const Shape cpu{"c16", 16, 0, 64, 0.5}, gpu{"g2", 8, 2, 64, 1.0};
    for (const char* z : {"north", "south", "east"}) {
      for (const bool spot : {false, true}) {
        out.push_back({cpu, z, spot, n});
        out.push_back({gpu, z, spot, n});
      }
    }
    return out;
  }

  void boot(int i) {
    auto& p = nodes[static_cast<std::size_t>(i)];
    if (p.node) return;
    p.runtime = std::make_unique<SimRuntime>(
        world, name(i), [this, i](const std::string& to, std::string m) {
          if (on_peer_message) on_peer_message(name(i), to, m);
          if (!world.reaches(name(i), to)) return;
          world.at(3ms, [this, to, m = std::move(m)] {
            for (int k = 0; k < count(); ++k) {
              auto& q = nodes[static_cast<std::size_t>(k)];
              if (name(k) != to || !q.node) continue;
              q.runtime->when_awake([&q, m] { q.node->peer_message(m); });
            }
          });
        });
    p.node = std::make_unique<Node>(*p.runtime, parse_settings(settings_text(i, count(), timing)),
                                    features);
    world.listen(address(i), name(i),
                 [this, i, life = ++p.life](const HttpRequest& r, const Respond& respond) {
                   auto& q = nodes[static_cast<std::size_t>(i)];
                   if (r.target == "/v1/report") ++reports;
                   if (!q.node || q.life != life) return;
                   q.runtime->when_awake([&q, r, respond] { q.node->handle(r, respond); });
                 });
    p.node->start();
  }
  void crash(int i, double back_s) {
    auto& p = nodes[static_cast<std::size_t>(i)];
    if (!p.node) return;
    world.close(address(i));
    p.node.reset();
    p.runtime.reset();
    world.at(to_duration(Seconds(back_s)), [this, i] { boot(i); });
  }
  // The process stands still: its requests are under way, what comes waits.
  void freeze(int i, double seconds) {
    auto& p = nodes[static_cast<std::size_t>(i)];
    if (p.runtime) p.runtime->freeze(seconds);
  }
  // Cuts the node from the state service and the other nodes, but not from workers and users.
  void leave_alone(int node, bool on) {
    for (int i = -1; i < count(); ++i) {
      if (i == node) continue;
      const std::string other = i < 0 ? "state" : name(i);
      world.deafen(name(node), other, on);
      world.deafen(other, name(node), on);
    }
  }
  // A node that believes it leads, other than `besides`; -1: none.
  int leader(int besides = -1) const {
    for (int i = 0; i < count(); ++i) {
      const auto& node = nodes[static_cast<std::size_t>(i)].node;
      if (i != besides && node && node->leading()) return i;
    }
    return -1;
  }

  // ---- Users ----

  struct Ask {
    TrueJob truth;
    RunSpec spec;
  };
  std::string submit(Ask ask) {
    char id[16];
    std::snprintf(id, sizeof id, "req-%06u", ++next_job);
    ask.truth.tasks = ask.spec.tasks;
    ask.truth.gang = ask.spec.gang;
    ask.truth.cpus = ask.spec.cpus;
    ask.truth.gpus = ask.spec.gpus;
    jobs.specs[id] = ask.spec;
    asks[id] = ask;
    checker.submitted(id, ask.truth);
    Json body = description(id, ask);
    send(id, {"POST", "/v2/runs", body.dump()}, 5s, true, [this, id](int status) {
      return status == 200 || status == 201 ? (poll(id), true) : false;
    });
    return id;
  }
  static Json description(const std::string& id, const Ask& ask) {
    Json body = {{"ref", id},
                 {"lane", ask.spec.gang ? "gangs" : "arrays"},
                 {"owner", ask.truth.team},
                 {"shape", ask.spec.gang ? "ensemble" : "batch"},
                 {"rank", "standard"},
                 {"pieces", ask.spec.tasks},
                 {"cores", ask.spec.cpus},
                 {"accelerators", ask.spec.gpus},
                 {"ramGb", ask.spec.memory_gb},
                 {"bundle", ask.spec.image},
                 {"imageGb", ask.spec.image_gb},
                 {"together", ask.truth.one_zone},
                 {"scatter", ask.truth.spread},
                 {"loaner", ask.truth.spot},
                 {"expectS", ask.spec.run_s},
                 {"bookmarkS", ask.spec.checkpoint_s},
                 {"stashS", ask.spec.save_s}};
    body["flavors"] = ask.truth.types.empty() ? Json(nullptr) : Json(ask.truth.types);
    body["yard"] = ask.truth.zone.empty() ? Json(nullptr) : Json(ask.truth.zone);
    return body;
  }
  // Once more, as users do who are not sure; also in a form that would be refused from others.
  void submit_again(const std::string& id, const Json& body) {
    ask_node(id, {"POST", "/v2/runs", body.dump()}, 5s, true, [](int) {});
  }
  // A job that can't run or lacks a field: never accepted.
  void submit_unsound(Ask ask, const std::function<void(Json&)>& spoil) {
    char id[16];
    std::snprintf(id, sizeof id, "req-%06u", 800000 + ++next_unsound);
    ask.truth.sound = false;
    checker.submitted(id, ask.truth);
    Json body = description(id, ask);
    spoil(body);
    ask_node(id, {"POST", "/v2/runs", body.dump()}, 5s, true, [](int) {});
  }
  void cancel(const std::string& id) {
    checker.asks_cancel(id);
    send(id, {"POST", "/v2/runs/" + id + "/abort", ""}, 5s, false,
         [](int status) { return status == 200; });
  }
  void poll(const std::string& id) {
    world.at(to_duration(Seconds(world.uniform(4, 6))), [this, id] {
      ask_node(id, {"GET", "/v2/runs/" + id, ""}, 2s, false, [this, id](int) {
        if (!checker.over(id) || world.chance(0.5)) poll(id);
      });
    });
  }
  // Repeats until `enough`.
  void send(const std::string& id, HttpRequest request, Duration timeout, bool submit,
            std::function<bool(int)> enough) {
    ask_node(id, request, timeout, submit,
             [this, id, request, timeout, submit, enough](int status) {
               if (enough(status) || status == 400 || status == 422) return;
               world.at(to_duration(Seconds(world.uniform(1, 2))),
                        [this, id, request, timeout, submit, enough] {
                          send(id, request, timeout, submit, enough);
                        });
             });
  }
  void ask_node(const std::string& id, HttpRequest request, Duration timeout, bool submit,
                std::function<void(int)> done) {
    if (request.method == "GET") checker.asks(id);
    world.http(
        "users", address(any_node()), std::move(request), timeout,
        [this, id, submit, asked = world.t(), done = std::move(done)](const HttpResponse& r) {
          const auto in = Json::parse(r.body, nullptr, false);
          const bool good = in.is_object() && in.contains("stage");
          checker.answered(id, r.status, good ? in["stage"].get<std::string>() : "", submit, asked);
          done(r.status);
        });
  }

  Ask random_ask() {
    Ask a;
    a.truth.team = world.chance(0.5) ? "red" : "blue";
    a.truth.spot = world.chance(0.6);
    a.spec.gang = world.chance(0.35);
    a.spec.tasks = static_cast<std::uint32_t>(world.uniform(1, !a.spec.gang            ? 20
                                                               : a.truth.team == "red" ? 5
                                                                                       : 12.99));
    a.spec.cpus = world.chance(0.5) ? 2 : 4;
    a.spec.memory_gb = 4;
    if (world.chance(0.3)) a.spec.gpus = 1;
    // A zone has accelerators for small gangs only.
    if (a.spec.gang && (a.truth.team == "red" || a.spec.tasks > 5)) a.spec.gpus = 0;
    a.spec.run_s = world.uniform(5, 40);
    a.spec.checkpoint_s = world.chance(0.5) ? 5 : 0;
    a.spec.save_s = a.spec.checkpoint_s > 0 ? 2 : 0;
    a.spec.image = "img-" + std::to_string(static_cast<int>(world.uniform(0, 4)));
    a.spec.image_gb = 1;
    a.truth.one_zone = a.spec.gang && world.chance(0.4);
    a.truth.spread = !a.truth.one_zone && world.chance(0.3);
    if (world.chance(0.2)) a.truth.zone = "south";
    if (!a.truth.zone.empty()) a.truth.spread = false;
    return a;
  }

  struct Process {
    std::unique_ptr<SimRuntime> runtime;
    std::unique_ptr<Node> node;
    int life = 0;
  };
  World world;
  Features features;
  Timing timing;
  Jobs jobs;
  Checker checker;
  StateService state;
  CloudService cloud;
  std::vector<Process> nodes;
  unsigned next_job = 0, next_unsound = 0;
  std::map<std::string, Ask> asks;
  std::uint64_t reports = 0;
  // Told of each message between nodes as it is sent.
  std::function<void(const std::string& from, const std::string& to, const std::string& message)>
      on_peer_message;
};

// An array of tasks that fit four to a machine and never save.
inline Scenario::Ask array(std::uint32_t tasks, double run_s, const std::string& team = "blue") {
  Scenario::Ask a;
  a.truth.team = team;
  a.spec.tasks = tasks;
  a.spec.cpus = 4;
  a.spec.memory_gb = 1;
  a.spec.run_s = run_s;
  a.spec.image = "img";
  a.spec.image_gb = 0.1;
  return a;
}

// The same, also on spot machines.
inline Scenario::Ask spot_array(std::uint32_t tasks, double run_s) {
  auto a = array(tasks, run_s);
  a.truth.spot = true;
  return a;
}

// Takes the orders of which this says so out of the answer to a heartbeat.
inline void take_out(const HttpRequest& request, HttpResponse& r,
                     const std::function<bool(const Json&)>& which) {
  if (request.target != "/v1/report" || r.status != 200) return;
  auto out = Json::parse(r.body);
  Json kept = Json::array();
  for (const auto& c : out["orders"]) {
    if (!which(c)) kept.push_back(c);
  }
  out["orders"] = kept;
  r.body = out.dump();
}

}  // namespace sim
