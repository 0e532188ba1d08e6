#pragma once
// Stand-ins for the cloud and its machines' workers, written from PROTOCOL.

#include <cmath>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <set>

#include "sim/checker.hpp"
#include "sim/world.hpp"

namespace sim {

using Json = nlohmann::json;

struct Timing {
  double report_s = 2, lease_s = 10, gang_wait_s = 30, gang_peer_s = 4, cancel_s = 40;
};

struct RunSpec {
  double run_s = 20, checkpoint_s = 0, save_s = 0, image_gb = 1;
  double cpus = 0, gpus = 0, memory_gb = 0;
  std::uint32_t tasks = 1;
  bool gang = false;
  bool mistake = false;  // fails wherever it is started
  std::string image;
};

// What the workers know of jobs, and progress kept outside the machines.
struct Jobs {
  std::map<std::string, RunSpec> specs;
  std::map<std::pair<std::string, std::uint32_t>, double> saved;
  std::set<std::pair<std::string, std::uint32_t>> done;
  struct GangRun {
    std::set<std::uint32_t> ready;
    bool started = false, broken = false;
  };
  std::map<std::pair<std::string, std::uint64_t>, GangRun> gangs;
};

struct Shape {
  std::string type;
  double cpus, gpus, memory_gb, gb_per_s;
};

class Worker : public std::enable_shared_from_this<Worker> {
 public:
  Worker(World& world, Checker& checker, Jobs& jobs, Timing timing, Shape shape, std::string id,
         std::string address, std::string zone, bool spot, std::vector<std::string> nodes,
         std::vector<std::string> names)
      : id(std::move(id)),
        address(std::move(address)),
        zone(std::move(zone)),
        shape(shape),
        spot(spot),
        world_(world),
        checker_(checker),
        jobs_(jobs),
        timing_(timing),
        nodes_(std::move(nodes)),
        names_(std::move(names)) {}

  void start() {
    began_ = world_.now();
    node_ = static_cast<std::size_t>(world_.uniform(0, 0.999) * static_cast<double>(nodes_.size()));
    world_.listen(address, id,
                  [w = weak_from_this()](const HttpRequest& r, const Respond& respond) {
                    if (const auto s = w.lock()) {
                      s->when_awake([r, respond](Worker& self) { self.direct(r, respond); });
                    }
                  });
    loop();
    watch_lease();
  }
  // The machine is gone: nothing runs, nothing answers.
  void end() {
    ended = true;
    world_.close(address);
    for (auto& [key, t] : tasks_) leave(key, t);
    tasks_.clear();
  }
  void notice(double s) {
    goes_at_ = world_.t() + s;
    changed();
  }

  // It executes nothing, and then goes on: its clock has run meanwhile, and what came waits.
  void hang(double s) {
    const double until = world_.t() + s;
    hung_until_ = std::max(hung_until_, until);
    world_.at(to_duration(Seconds(s)), [w = weak_from_this()] {
      if (const auto self = w.lock(); self && !self->ended && !self->hung()) self->go_on();
    });
  }
  bool hung() const { return world_.t() + 1e-6 < hung_until_; }
  bool holds_work() const {
    return std::any_of(tasks_.begin(), tasks_.end(),
                       [](const auto& t) { return t.second.state != "exited"; });
  }
  // What tasks that have not ended leave of the machine.
  Shape free() const {
    Shape out = shape;
    for (const auto& [key, t] : tasks_) {
      if (t.state == "exited") continue;
      const auto& spec = jobs_.specs.at(key.first);
      out.cpus -= spec.cpus;
      out.gpus -= spec.gpus;
      out.memory_gb -= spec.memory_gb;
    }
    return out;
  }

  std::string id, address, zone;
  Shape shape;
  bool spot, ended = false, sick = false;
  double drift = 1.0;  // its steady clock's speed
  std::uint32_t epoch() const { return epoch_; }

 private:
  using Key = std::pair<std::string, std::pair<std::uint32_t, std::uint64_t>>;
  struct Task {
    std::string state = "pulling", cause;
    bool on = false, saved = false;
    double began = 0, progress = 0;
    std::uint64_t step = 0;  // timers of earlier steps are void
  };

  void changed() {
    if (urgent_ || ended) return;
    urgent_ = true;
    const double wait = std::max(0.0, last_sent_ + 0.5 - world_.t());
    world_.at(to_duration(Seconds(wait)), [w = weak_from_this()] {
      const auto s = w.lock();
      if (!s || s->ended) return;
      s->urgent_ = false;
      s->when_awake([](Worker& self) {
        if (!self.in_flight_) self.report();
      });
    });
  }

  void when_awake(std::function<void(Worker&)> action) {
    if (hung()) {
      asleep_.push_back(std::move(action));
    } else {
      action(*this);
    }
  }
  void go_on() {
    for (auto& action : std::exchange(asleep_, {})) {
      if (!ended) action(*this);
    }
  }

  void loop() {
    if (ended) return;
    world_.at(to_duration(Seconds(timing_.report_s * world_.uniform(0.75, 1.25))),
              [w = weak_from_this()] {
                const auto s = w.lock();
                if (!s || s->ended) return;
                if (!s->in_flight_ && !s->hung()) s->report();
                s->loop();
              });
  }

  Json body() {
    Json list = Json::array();
    for (const auto& [key, t] : tasks_) {
      Json j = {{"piece", key.first + "/" + std::to_string(key.second.first)},
                {"try", key.second.second},
                {"stage", t.state}};
      if (t.state == "exited") j["cause"] = t.cause;
      if (t.saved) j["stored"] = true;
      list.push_back(j);
    }
    Json out = {{"host", id},     {"endpoint", address}, {"flavor", shape.type},
                {"yard", zone},   {"loaner", spot},      {"tenure", epoch_},
                {"tick", ++seq_}, {"baton", token_},     {"pieces", list}};
    out["warningS"] = goes_at_ > 0 ? Json(std::max(0.0, goes_at_ - world_.t())) : Json(nullptr);
    return out;
  }

  void report() {
    in_flight_ = true;
    last_sent_ = world_.t();
    const auto sent = world_.now();
    const auto epoch = epoch_;
    world_.http(id, nodes_[node_], {"POST", "/v1/report", body().dump()}, kTimeout,
                [w = weak_from_this(), sent, epoch](const HttpResponse& r) {
                  const auto s = w.lock();
                  if (!s || s->ended) return;
                  s->when_awake([sent, epoch, r](Worker& self) {
                    self.in_flight_ = false;
                    const bool late = self.world_.now() - sent > kTimeout;
                    self.answered(late ? HttpResponse{} : r, sent, epoch);
                  });
                });
  }

  void answered(const HttpResponse& r, TimePoint sent, std::uint32_t epoch) {
    if (r.status == 200) {
      const auto in = Json::parse(r.body, nullptr, false);
      if (in.is_discarded() || !in.contains("baton")) return;
      const auto token = in["baton"].get<std::uint64_t>();
      if (token < token_ || epoch != epoch_) return;
      if (token > token_) {
        token_ = token;
        changed();
      }
      renewed_ = sent;
      bind(in["orders"]);
      return;
    }
    if (r.status == 421) {
      const auto in = Json::parse(r.body, nullptr, false);
      const std::string leader = in.is_object() ? in.value("foreman", "") : "";
      for (std::size_t i = 0; i < names_.size(); ++i) {
        if (names_[i] == leader && i != node_) {
          node_ = i;
          changed();
          return;
        }
      }
    }
    node_ = (node_ + 1) % nodes_.size();
    world_.at(1s, [w = weak_from_this()] {
      if (const auto s = w.lock()) s->changed();
    });
  }

  void direct(const HttpRequest& r, const Respond& respond) {
    if (r.target == "/status") {
      respond({200, body().dump()});
      return;
    }
    const auto in = Json::parse(r.body, nullptr, false);
    if (!in.is_object() || !in.contains("baton") || !in.contains("tenure")) {
      respond({400, "{}"});
      return;
    }
    if (in["baton"].get<std::uint64_t>() < token_ || in["tenure"].get<std::uint32_t>() != epoch_) {
      respond({409, body().dump()});
      return;
    }
    token_ = in["baton"].get<std::uint64_t>();
    bind(in["orders"]);
    respond({200, body().dump()});
  }

  static Key key_of(const Json& c) {
    const auto name = c["piece"].get<std::string>();
    const auto slash = name.rfind('/');
    return {name.substr(0, slash),
            {static_cast<std::uint32_t>(std::stoul(name.substr(slash + 1))),
             c["try"].get<std::uint64_t>()}};
  }

  void bind(const Json& orders) {
    for (const auto& c : orders) {
      const auto key = key_of(c);
      const auto verb = c["verb"].get<std::string>();
      if (verb == "run") {
        start_task(key);
      } else if (verb == "kill") {
        stop_task(key, c.value("leewayS", 0.0));
      } else if (verb == "clear") {
        const auto it = tasks_.find(key);
        if (it != tasks_.end() && it->second.state == "exited") tasks_.erase(it);
      }
    }
  }

  void start_task(const Key& key) {
    if (tasks_.count(key) != 0) return;
    Task& t = tasks_[key];
    changed();
    const auto spec = jobs_.specs.find(key.first);
    if (spec == jobs_.specs.end() || key.second.first >= spec->second.tasks) {
      exit_task(key, t, "no_such");
      return;
    }
    double cpus = 0, gpus = 0, memory = 0;
    bool busy = false;
    for (const auto& [k, o] : tasks_) {
      if (o.state == "exited") continue;
      const auto& s = jobs_.specs.at(k.first);
      cpus += s.cpus;
      gpus += s.gpus;
      memory += s.memory_gb;
      busy = busy || (k != key && k.first == key.first && k.second.first == key.second.first);
    }
    if (busy) {
      exit_task(key, t, "in_use");
      return;
    }
    if (cpus > shape.cpus + 1e-6 || gpus > shape.gpus + 1e-6 || memory > shape.memory_gb + 1e-6) {
      exit_task(key, t, "no_room");
      return;
    }
    const double fetch =
        images_.count(spec->second.image) != 0 ? 0.02 : spec->second.image_gb / shape.gb_per_s;
    later(key, fetch, [](Worker& w, const Key& k, Task& task) { w.fetched(k, task); });
  }

  void fetched(const Key& key, Task& t) {
    const auto& spec = jobs_.specs.at(key.first);
    images_.insert(spec.image);
    t.on = true;
    checker_.present(key.first, key.second.first, {id, shape.type, zone, spot});
    if (jobs_.done.count({key.first, key.second.first}) != 0) {
      exit_task(key, t, "done");
      return;
    }
    if (sick || spec.mistake) {
      later(key, 0.5, [](Worker& w, const Key& k, Task& task) { w.exit_task(k, task, "error"); });
      return;
    }
    if (!spec.gang) {
      run(key, t);
      return;
    }
    t.state = "gathering";
    changed();
    auto& gang = jobs_.gangs[{key.first, key.second.second}];
    gang.ready.insert(key.second.first);
    if (gang.ready.size() == spec.tasks) gang.started = true;
    follow_gang(key, t, world_.t());
  }

  void follow_gang(const Key& key, Task&, double since) {
    later(key, 0.2, [since](Worker& w, const Key& k, Task& task) {
      auto& gang = w.jobs_.gangs[{k.first, k.second.second}];
      if (task.state == "gathering") {
        if (gang.started) {
          w.run(k, task);
        } else if (w.world_.t() - since > w.timing_.gang_wait_s) {
          w.exit_task(k, task, "alone");
        } else {
          w.follow_gang(k, task, since);
        }
      }
    });
  }

  void run(const Key& key, Task& t) {
    const auto& spec = jobs_.specs.at(key.first);
    t.state = "running";
    t.began = world_.t();
    const auto saved = jobs_.saved.find({key.first, spec.gang ? 0 : key.second.first});
    t.progress = saved == jobs_.saved.end() ? 0 : saved->second;
    changed();
    watch_run(key, t);
  }

  void watch_run(const Key& key, Task& t) {
    const auto& spec = jobs_.specs.at(key.first);
    const double left = spec.run_s - t.progress - (world_.t() - t.began);
    later(key, std::min(std::max(left, 0.0), spec.gang ? 0.3 : 1e9),
          [](Worker& w, const Key& k, Task& task) {
            const auto& s = w.jobs_.specs.at(k.first);
            const double at = task.progress + w.world_.t() - task.began;
            if (s.gang && w.jobs_.gangs[{k.first, k.second.second}].broken) {
              w.checkpoint(k, task);
              w.exit_task(k, task, "peers");
              return;
            }
            if (at + 1e-6 < s.run_s) {
              w.watch_run(k, task);
              return;
            }
            for (std::uint32_t i = 0; i < (s.gang ? s.tasks : 1U); ++i) {
              const auto index = s.gang ? i : k.second.first;
              w.jobs_.done.insert({k.first, index});
              w.checker_.completed(k.first, index);
            }
            w.exit_task(k, task, "done");
          });
  }

  void checkpoint(const Key& key, const Task& t) {
    const auto& spec = jobs_.specs.at(key.first);
    if (spec.checkpoint_s <= 0 || t.state != "running") return;
    const double at = t.progress + world_.t() - t.began;
    auto& saved = jobs_.saved[{key.first, spec.gang ? 0 : key.second.first}];
    saved = std::max(saved, std::floor(at / spec.checkpoint_s) * spec.checkpoint_s);
  }

  void stop_task(const Key& key, double grace) {
    const auto it = tasks_.find(key);
    if (it == tasks_.end() || it->second.state == "exited") return;
    Task& t = it->second;
    const auto& spec = jobs_.specs.at(key.first);
    if (t.state == "running" && spec.checkpoint_s > 0 && grace >= spec.save_s) {
      const double at = t.progress + world_.t() - t.began;
      t.state = "saving";
      changed();
      later(key, spec.save_s, [at](Worker& w, const Key& k, Task& task) {
        auto& saved = w.jobs_.saved[{k.first, w.jobs_.specs.at(k.first).gang ? 0 : k.second.first}];
        saved = std::max(saved, at);
        task.saved = true;
        w.exit_task(k, task, "halted");
      });
      return;
    }
    if (t.state == "saving" && grace > 0) return;
    checkpoint(key, t);
    exit_task(key, t, "halted");
  }

  void exit_task(const Key& key, Task& t, const std::string& cause) {
    leave(key, t);
    t.state = "exited";
    t.cause = cause;
    ++t.step;
    changed();
  }

  // A gang whose task disappears is noticed by the others.
  void leave(const Key& key, Task& t) {
    if (t.on) checker_.absent(key.first, key.second.first, id);
    t.on = false;
    const auto spec = jobs_.specs.find(key.first);
    if (spec == jobs_.specs.end() || !spec->second.gang) return;
    auto& gang = jobs_.gangs[{key.first, key.second.second}];
    gang.ready.erase(key.second.first);
    if (gang.started && jobs_.done.count({key.first, key.second.first}) == 0) gang.broken = true;
  }

  void later(const Key& key, double s, std::function<void(Worker&, const Key&, Task&)> action) {
    const auto step = ++tasks_.at(key).step;
    world_.at(to_duration(Seconds(s)),
              [w = weak_from_this(), key, step, action = std::move(action)] {
                const auto self = w.lock();
                if (!self || self->ended) return;
                self->when_awake([key, step, action](Worker& awake) {
                  const auto it = awake.tasks_.find(key);
                  if (it != awake.tasks_.end() && it->second.step == step)
                    action(awake, key, it->second);
                });
              });
  }

  void watch_lease() {
    world_.at(100ms, [w = weak_from_this()] {
      const auto s = w.lock();
      if (!s || s->ended) return;
      // A machine that hangs may carry on within its lease only: after that nothing is on it.
      s->check_lease();
      s->watch_lease();
    });
  }
  void check_lease() {
    const auto since = std::max(renewed_, began_);
    if (seconds(world_.now() - since) * drift <= timing_.lease_s) return;
    for (auto& [key, t] : tasks_) leave(key, t);
    tasks_.clear();
    ++epoch_;
    began_ = world_.now();
    changed();
  }

  World& world_;
  Checker& checker_;
  Jobs& jobs_;
  Timing timing_;
  std::vector<std::string> nodes_, names_;
  std::size_t node_ = 0;
  std::uint32_t epoch_ = 1;
  std::uint64_t seq_ = 0, token_ = 0;
  TimePoint began_{}, renewed_{};
  static constexpr auto kTimeout = 4s;  // with an answer
  double goes_at_ = 0, last_sent_ = -1, hung_until_ = 0;
  std::vector<std::function<void(Worker&)>> asleep_;
  bool in_flight_ = false, urgent_ = false;
  std::set<std::string> images_;
  std::map<Key, Task> tasks_;
};

struct PoolSpec {
  Shape shape;
  std::string zone;
  bool spot;
  std::size_t count;
};

// What the cloud has seen of orders, for checks of who gives them.
struct OrderLog {
  std::uint64_t highest_token = 0;
  std::size_t stale = 0;    // orders with a lower token than one seen before
  std::size_t refused = 0;  // of these, by a cloud that checks the token
  std::size_t rented = 0;   // machines
  std::size_t double_returns = 0, returned_with_work = 0;
  std::map<std::string, std::string> returned_by;    // operation by machine
  std::map<std::string, std::size_t> rentals_asked;  // by name
};

class CloudService {
 public:
  CloudService(World& world, Checker& checker, Jobs& jobs, Timing timing,
               const std::string& address, std::vector<PoolSpec> pools,
               std::vector<std::string> nodes, std::vector<std::string> names)
      : world_(world),
        checker_(checker),
        jobs_(jobs),
        timing_(timing),
        pools_(std::move(pools)),
        nodes_(std::move(nodes)),
        names_(std::move(names)) {
    world.listen(address, "cloud", [this](const HttpRequest& r, const Respond& respond) {
      if (down) {
        respond({503, R"({"error":"trouble"})"});
      } else {
        serve(r, respond);
      }
    });
  }

  bool down = false;
  bool checks_token = false;
  std::size_t no_capacity_for = 0;  // so many rentals
  double list_lag_s = 5;
  OrderLog orders;
  // Whether a machine by that name is rented.
  bool has(const std::string& id) const { return machines_.count(id) != 0; }
  double never_boots = 0;
  std::size_t most_at_once = 50;

  std::vector<std::shared_ptr<Worker>> running() {
    std::vector<std::shared_ptr<Worker>> out;
    for (auto& [id, m] : machines_) {
      if (m.worker && !m.worker->ended) out.push_back(m.worker);
    }
    return out;
  }
  void take(const std::string& id) {
    auto& m = machines_.at(id);
    if (m.worker) m.worker->end();
    machines_.erase(id);
  }
  std::size_t rented() const { return machines_.size(); }

 private:
  struct Machine {
    std::size_t pool = 0;
    std::string address;
    double since = 0;
    std::shared_ptr<Worker> worker;
  };

  void serve(const HttpRequest& r, const Respond& respond) {
    if (r.target == "/machine_types") {
      std::map<std::string, Json> types;
      for (const auto& p : pools_) {
        auto& t = types[p.shape.type];
        if (t.is_null()) {
          t = {{"name", p.shape.type},
               {"cores", p.shape.cpus},
               {"accelerators", p.shape.gpus},
               {"ramGb", p.shape.memory_gb},
               {"localGb", 50.0},
               {"pullGbPerS", p.shape.gb_per_s},
               {"price", p.shape.cpus / 10},
               {"marketPrice", p.shape.cpus / 30},
               {"readyS", 8.0},
               {"yards", Json::array()}};
        }
        auto& yards = t["yards"];
        if (std::find(yards.begin(), yards.end(), Json(p.zone)) == yards.end())
          yards.push_back(p.zone);
      }
      Json list = Json::array();
      for (auto& [name, t] : types) list.push_back(t);
      respond({200, Json{{"flavors", list}}.dump()});
    } else if (r.target == "/machines/return") {
      const Json in = Json::parse(r.body);
      if (!may_order(in, respond)) return;
      for (const auto& id : in["hosts"]) give_back(id, in.value("ask", ""));
      respond({200, "{}"});
    } else if (r.target == "/machines") {
      const Json in = Json::parse(r.body);
      if (may_order(in, respond)) rent(in, respond);
    } else {
      Json list = Json::array();
      for (const auto& [id, m] : machines_) {
        const auto& p = pools_[m.pool];
        list.push_back({{"ref", id},
                        {"endpoint", m.address},
                        {"flavor", p.shape.type},
                        {"yard", p.zone},
                        {"loaner", p.spot},
                        {"stage", m.worker ? "running" : "booting"},
                        {"ageS", world_.t() - m.since}});
      }
      // A list lags by some seconds.
      lists_.push_back({world_.t(), list});
      while (lists_.size() > 1 && lists_[1].first < world_.t() - list_lag_s)
        lists_.erase(lists_.begin());
      respond({200, page(lists_.front().second, r.target).dump()});
    }
  }

  bool may_order(const Json& in, const Respond& respond) {
    const auto token = in.value("baton", std::uint64_t{0});
    if (token >= orders.highest_token) {
      orders.highest_token = token;
      return true;
    }
    ++orders.stale;
    if (!checks_token) return true;
    ++orders.refused;
    respond({409, R"({"error":"a newer token has been seen"})"});
    return false;
  }

  void give_back(const std::string& id, const std::string& ask) {
    const auto [by, first] = orders.returned_by.emplace(id, ask);
    if (!first && by->second != ask) ++orders.double_returns;
    const auto it = machines_.find(id);
    if (it == machines_.end()) return;
    if (it->second.worker && it->second.worker->holds_work()) ++orders.returned_with_work;
    take(id);
  }

  // The machines after the one that the request names, no more than it asks for.
  static Json page(const Json& list, const std::string& target) {
    const auto parameter = [&target](const std::string& name) {
      const auto at = target.find(name + "=");
      if (at == std::string::npos) return std::string();
      const auto begin = at + name.size() + 1;
      return target.substr(begin, target.find('&', begin) - begin);
    };
    const auto since = parameter("since"), limit = parameter("limit");
    const std::size_t most = limit.empty() ? 500 : std::min<std::size_t>(500, std::stoul(limit));
    Json hosts = Json::array();
    for (const auto& host : list) {
      if (host["ref"].get_ref<const std::string&>() <= since) continue;
      if (hosts.size() == most) return {{"hosts", hosts}, {"hasNext", true}};
      hosts.push_back(host);
    }
    return {{"hosts", hosts}, {"hasNext", false}};
  }

  void rent(const Json& in, const Respond& respond) {
    const auto ask = in["ask"].get<std::string>();
    ++orders.rentals_asked[ask];
    if (const auto it = asked_.find(ask); it != asked_.end()) {
      respond({200, it->second.dump()});
      return;
    }
    std::size_t used = 0, pool = SIZE_MAX;
    for (std::size_t i = 0; i < pools_.size(); ++i) {
      if (pools_[i].shape.type == in["flavor"] && pools_[i].zone == in["yard"] &&
          pools_[i].spot == in["loaner"])
        pool = i;
    }
    for (const auto& [id, m] : machines_) used += m.pool == pool ? 1 : 0;
    const bool none = no_capacity_for > 0;
    if (none) --no_capacity_for;
    if (none || pool == SIZE_MAX || used >= pools_[pool].count) {
      respond({503, R"({"error":"no capacity"})"});
      return;
    }
    Json hosts = Json::array();
    const auto wanted = std::min(in["howMany"].get<std::size_t>(), most_at_once);
    for (std::size_t n = 0; n < wanted && used + n < pools_[pool].count; ++n) {
      char id[16];
      std::snprintf(id, sizeof id, "n-%06u", ++next_);
      const std::string address = "10.1.0." + std::to_string(next_) + ":9000";
      machines_[id] = {pool, address, world_.t(), nullptr};
      hosts.push_back(id);
      ++orders.rented;
      if (world_.chance(never_boots)) continue;
      world_.at(to_duration(Seconds(8 * world_.uniform(0.6, 1.5))), [this, name = std::string(id)] {
        const auto it = machines_.find(name);
        if (it == machines_.end()) return;
        const auto& p = pools_[it->second.pool];
        it->second.worker =
            std::make_shared<Worker>(world_, checker_, jobs_, timing_, p.shape, name,
                                     it->second.address, p.zone, p.spot, nodes_, names_);
        it->second.worker->drift = world_.uniform(0.9995, 1.0005);
        it->second.worker->start();
      });
    }
    asked_[ask] = {{"hosts", hosts}};
    respond({200, asked_[ask].dump()});
  }

  World& world_;
  Checker& checker_;
  Jobs& jobs_;
  Timing timing_;
  std::vector<PoolSpec> pools_;
  std::vector<std::string> nodes_, names_;
  unsigned next_ = 0;
  std::map<std::string, Machine> machines_;
  std::map<std::string, Json> asked_;
  std::vector<std::pair<double, Json>> lists_;
};

}  // namespace sim
