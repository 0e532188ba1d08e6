#include "world.hpp"

#include <sys/prctl.h>
#include <sys/wait.h>

#include <algorithm>
#include <cmath>
#include <csignal>
#include <fstream>

namespace stage {
namespace {

constexpr double kTick = 0.05;
constexpr std::size_t kKeptChanges = 10000;
constexpr std::size_t kMaxListBytes = 512 * 1024;

std::map<std::string, std::string> query_of(const std::string& target) {
  std::map<std::string, std::string> out;
  auto at = target.find('?');
  while (at != std::string::npos) {
    const auto end = target.find('&', at + 1);
    const auto part = target.substr(at + 1, end == std::string::npos ? end : end - at - 1);
    const auto equals = part.find('=');
    if (equals != std::string::npos) out[part.substr(0, equals)] = part.substr(equals + 1);
    at = end;
  }
  return out;
}

std::uint64_t number_or(const std::map<std::string, std::string>& query, const char* key,
                        std::uint64_t fallback) {
  const auto found = query.find(key);
  return found == query.end() ? fallback : std::strtoull(found->second.c_str(), nullptr, 10);
}

std::string text_or(const std::map<std::string, std::string>& query, const char* key) {
  const auto found = query.find(key);
  return found == query.end() ? "" : found->second;
}

std::string piece_name(const std::string& job, int index) {
  return job + "/" + std::to_string(index);
}

}  // namespace

// ---- State service ----

StateService::StateService(Loop& loop, Record& record, const Timing& timing, int nodes)
    : loop_(loop),
      record_(record),
      timing_(timing),
      requests_(timing.state_rps),
      writes_(timing.state_write_rps),
      refused_(static_cast<std::size_t>(nodes), false) {
  for (int node = 0; node < nodes; ++node) {
    servers_.push_back(std::make_unique<Server>(
        loop, [this, node](const Request& request, const Respond& respond) {
          handle(node, request, respond);
        }));
  }
  tick();
}

void StateService::refuse(int node, bool on) {
  refused_[static_cast<std::size_t>(node)] = on;
  record_.line("state service " + std::string(on ? "refuses" : "serves") + " node " +
               std::to_string(node));
}

void StateService::tick() {
  expire_grants();
  answer_watches();
  loop_.after(kTick, [this] { tick(); });
}

void StateService::handle(int node, const Request& request, const Respond& respond) {
  if (refused_[static_cast<std::size_t>(node)]) {
    respond({503, R"({"error":"trouble"})"});
    return;
  }
  if (!requests_.take(1, loop_.now())) {
    respond({429, R"({"error":"too many requests"})"});
    return;
  }
  if (request.target.rfind("/watch", 0) == 0) {
    const auto query = query_of(request.target);
    const auto wait = std::min<std::uint64_t>(number_or(query, "blockMs", 0), 60000);
    const Watch watch{node, text_or(query, "prefix"), number_or(query, "since", 0),
                      loop_.now() + static_cast<double>(wait) / 1000, respond};
    if (!answer_watch(watch, wait == 0)) watches_.push_back(watch);
    return;
  }
  respond(answer(request));
}

Response StateService::answer(const Request& request) {
  const auto path = request.target.substr(0, request.target.find('?'));
  if (request.method == "GET" && path == "/keys") return list(query_of(request.target));
  if (request.method == "GET" && path.rfind("/keys/", 0) == 0) {
    const auto found = items_.find(path.substr(6));
    if (found == items_.end()) return {404, Json{{"ledger", ledger_}}.dump()};
    Json out = {
        {"key", found->first}, {"value", found->second.value}, {"stamp", found->second.stamp}};
    if (found->second.hold != 0) out["hold"] = found->second.hold;
    return {200, out.dump()};
  }
  if (request.method == "POST" && path == "/txn") return transact(request.body);
  if (path.rfind("/grants", 0) == 0) return grant(request);
  return {400, R"({"error":"malformed"})"};
}

Response StateService::list(const std::map<std::string, std::string>& query) const {
  const auto prefix = text_or(query, "prefix"), since = text_or(query, "since");
  const auto limit = std::min<std::uint64_t>(number_or(query, "limit", 1000), 1000);
  Json items = Json::array();
  std::size_t bytes = 0;
  bool more = false;
  for (auto at = items_.lower_bound(prefix); at != items_.end(); ++at) {
    if (at->first.compare(0, prefix.size(), prefix) != 0) break;
    if (!since.empty() && at->first <= since) continue;
    Json item = {{"key", at->first}, {"value", at->second.value}, {"stamp", at->second.stamp}};
    bytes += item.dump().size() + 1;
    if (items.size() >= limit || bytes > kMaxListBytes) {
      more = true;
      break;
    }
    items.push_back(std::move(item));
  }
  return {200, Json{{"items", items}, {"hasNext", more}, {"ledger", ledger_}}.dump()};
}

Response StateService::transact(const std::string& body) {
  const auto in = Json::parse(body, nullptr, false);
  if (!in.is_object() || body.size() > 64 * 1024) return {400, R"({"error":"malformed"})"};
  const Json when = in.value("when", Json::array()), apply = in.value("apply", Json::array());
  const auto limit = static_cast<std::size_t>(timing_.txn_ops);
  if (apply.size() > limit || when.size() > 4 * limit) return {400, R"({"error":"too long"})"};
  if (!writes_.take(static_cast<double>(apply.size()), loop_.now())) {
    return {429, R"({"error":"too many changes"})"};
  }
  for (const auto& change : apply) {
    if (!change.contains("put")) continue;
    if (change["value"].dump().size() > static_cast<std::size_t>(timing_.value_kb) * 1024) {
      return {400, R"({"error":"value too long"})"};
    }
    if (change.contains("hold") && grants_.count(change["hold"]) == 0) {
      return {400, R"({"error":"no such lease"})"};
    }
  }
  Json failed = Json::array();
  for (const auto& condition : when) {
    const auto found = items_.find(condition["key"]);
    const auto stamp = found == items_.end() ? 0 : found->second.stamp;
    if (stamp != condition["stamp"]) failed.push_back(condition["key"]);
  }
  if (!failed.empty()) return {409, Json{{"failed", failed}, {"ledger", ledger_}}.dump()};
  if (!apply.empty()) ++ledger_;
  for (const auto& change : apply) {
    if (change.contains("put")) {
      put(change["put"], change["value"], change.value("hold", std::uint64_t{0}));
    } else {
      put(change["drop"], std::nullopt, 0);
    }
  }
  answer_watches();
  return {200, Json{{"ledger", ledger_}}.dump()};
}

// Changes the key at the present revision.
void StateService::put(const std::string& key, const std::optional<Json>& value,
                       std::uint64_t hold) {
  if (value) {
    items_[key] = {*value, ledger_, hold};
  } else if (items_.erase(key) == 0) {
    return;
  }
  changes_.push_back({key, ledger_, value});
  if (changes_.size() > kKeptChanges) changes_.pop_front();
  record_.line("state " + std::string(value ? "put " : "drop ") + key + " at " +
               std::to_string(ledger_) + (value ? " " + value->dump().substr(0, 160) : ""));
  if (on_change) on_change(key, value.has_value());
}

Response StateService::grant(const Request& request) {
  if (request.method == "POST" && request.target == "/grants") {
    const auto in = Json::parse(request.body, nullptr, false);
    const double ttl = in["ttlMs"].get<double>() / 1000;
    grants_[next_grant_] = {ttl, loop_.now() + ttl};
    return {200, Json{{"hold", next_grant_++}}.dump()};
  }
  const auto id = std::strtoull(request.target.c_str() + 8, nullptr, 10);
  const auto found = grants_.find(id);
  if (found == grants_.end()) return {404, "{}"};
  if (request.method == "DELETE") {
    end_grant(id);
  } else {
    found->second.ends = loop_.now() + found->second.ttl;
  }
  return {200, "{}"};
}

void StateService::expire_grants() {
  std::vector<std::uint64_t> ended;
  for (const auto& [id, grant] : grants_) {
    if (grant.ends <= loop_.now()) ended.push_back(id);
  }
  for (const auto id : ended) end_grant(id);
}

void StateService::end_grant(std::uint64_t id) {
  grants_.erase(id);
  std::vector<std::string> keys;
  for (const auto& [key, item] : items_) {
    if (item.hold == id) keys.push_back(key);
  }
  if (!keys.empty()) ++ledger_;
  for (const auto& key : keys) put(key, std::nullopt, 0);
}

void StateService::answer_watches() {
  const auto waiting = std::exchange(watches_, {});
  for (const auto& watch : waiting) {
    const bool refused = refused_[static_cast<std::size_t>(watch.node)];
    if (refused || !answer_watch(watch, watch.ends <= loop_.now())) watches_.push_back(watch);
  }
}

std::string StateService::leader() const {
  const auto found = items_.find("leader");
  return found == items_.end() ? "" : found->second.value.value("node", std::string());
}

bool StateService::answer_watch(const Watch& watch, bool timed_out) {
  if (!changes_.empty() && changes_.size() >= kKeptChanges &&
      watch.since + 1 < changes_.front().stamp) {
    watch.respond({410, "{}"});
    return true;
  }
  Json news = Json::array();
  for (const auto& change : changes_) {
    if (change.stamp <= watch.since || change.key.rfind(watch.prefix, 0) != 0) continue;
    if (change.value) {
      news.push_back({{"put", change.key}, {"value", *change.value}, {"stamp", change.stamp}});
    } else {
      news.push_back({{"drop", change.key}, {"stamp", change.stamp}});
    }
  }
  if (news.empty() && !timed_out) return false;
  watch.respond({200, Json{{"ledger", ledger_}, {"news", news}}.dump()});
  return true;
}

// ---- Worker ----

Worker::Worker(World& world, std::string name, const MachineType& machine_type,
               std::string machine_zone, bool is_spot)
    : id(std::move(name)),
      type(machine_type),
      zone(std::move(machine_zone)),
      spot(is_spot),
      world_(world) {
  server_ = std::make_unique<Server>(
      world.loop,
      [this](const Request& request, const Respond& respond) { handle(request, respond); });
}

void Worker::start() {
  renewed_ = last_tick_ = world_.loop.now();
  next_report_ = world_.loop.now();
  node_ = std::hash<std::string>{}(id) % World::kNodes;
  tick();
}

void Worker::vanish() {
  if (gone) return;
  gone = true;
  for (auto& task : tasks_) {
    if (task.present) world_.present[{task.job, task.index}].erase(id);
  }
  tasks_.clear();
  server_->close_all();
}

bool Worker::has(const std::string& job) const {
  return std::any_of(tasks_.begin(), tasks_.end(),
                     [&](const Task& task) { return task.job == job && task.stage != "exited"; });
}

bool Worker::idle() const {
  return std::all_of(tasks_.begin(), tasks_.end(),
                     [](const Task& task) { return task.stage == "exited"; });
}

void Worker::tick() {
  if (gone) return;
  const double now = world_.loop.now();
  const double passed = now - last_tick_;
  last_tick_ = now;
  if (now - renewed_ > world_.timing.lease_s) {
    world_.record.line("machine " + id + " loses its lease of tenure " + std::to_string(tenure_));
    for (auto& task : tasks_) {
      if (task.present) world_.present[{task.job, task.index}].erase(id);
    }
    tasks_.clear();
    ++tenure_;
    renewed_ = now;
    request_report();
  }
  fetch(passed);
  for (auto& task : tasks_) advance(task, passed);
  if (!in_flight_ && now >= next_report_) report();
  world_.loop.after(kTick, [self = shared_from_this()] { self->tick(); });
}

void Worker::request_report() {
  next_report_ = std::min(next_report_, std::max(world_.loop.now(), last_report_ + 0.5));
}

Json Worker::status() {
  Json pieces = Json::array();
  for (const auto& task : tasks_) {
    Json piece = {
        {"piece", piece_name(task.job, task.index)}, {"try", task.attempt}, {"stage", task.stage}};
    if (task.stage == "exited") piece["cause"] = task.cause;
    if (task.stored) piece["stored"] = true;
    pieces.push_back(piece);
  }
  return {{"host", id},          {"endpoint", endpoint()}, {"flavor", type.name}, {"yard", zone},
          {"loaner", spot},      {"tenure", tenure_},      {"tick", ++tick_},     {"baton", baton_},
          {"warningS", nullptr}, {"pieces", pieces}};
}

void Worker::report() {
  const double now = world_.loop.now();
  last_report_ = now;
  // report_s, with a quarter of leeway either way
  next_report_ = now + world_.timing.report_s * (0.75 + 0.5 * world_.draw());
  const auto& cut = world_.cut_zone_name;
  if (!cut.empty() && (zone == cut) != (world_.zones[node_] == cut)) {
    try_next_node();
    return;
  }
  in_flight_ = true;
  const auto body = status().dump();
  send_request(world_.loop, world_.api_ports[node_], {"POST", "/v1/report", body}, 4,
               [self = shared_from_this(), now, tenure = tenure_,
                size = body.size()](const Response& response) {
                 if (self->gone) return;
                 self->in_flight_ = false;
                 if (size > 64 * 1024) {
                   self->world_.record.line("machine " + self->id + ": a report of " +
                                            std::to_string(size) + " bytes is answered with " +
                                            std::to_string(response.status));
                 }
                 self->on_report_answer(response, now, tenure);
               });
}

void Worker::try_next_node() {
  node_ = (node_ + 1) % World::kNodes;
  next_report_ = world_.loop.now() + 1;
}

void Worker::on_report_answer(const Response& response, double sent, std::uint64_t tenure) {
  const auto answer = Json::parse(response.body, nullptr, false);
  if (response.status == 421 && answer.is_object()) {
    const auto named =
        std::find(world_.names.begin(), world_.names.end(), answer.value("foreman", std::string()));
    const auto index = static_cast<std::size_t>(named - world_.names.begin());
    if (named == world_.names.end() || index == node_) {
      try_next_node();
    } else {
      node_ = index;
      next_report_ = world_.loop.now() + 0.1;
    }
    return;
  }
  if (response.status != 200 || !answer.is_object()) {
    try_next_node();
    return;
  }
  if (!answer.contains("baton") || tenure != tenure_) return;
  const std::uint64_t token = answer["baton"];
  if (token < baton_) return;
  if (token > baton_) {
    baton_ = token;
    if (world_.loop.now() - last_token_change_ > world_.timing.lease_s / 2) request_report();
    last_token_change_ = world_.loop.now();
  }
  renewed_ = std::max(renewed_, sent);
  answered_report_ = sent;
  apply(answer["orders"]);
  answered_report_ = -1;
}

void Worker::handle(const Request& request, const Respond& respond) {
  if (request.target == "/status") {
    respond({200, status().dump()});
    return;
  }
  const auto in = Json::parse(request.body, nullptr, false);
  if (!in.is_object() || !in.contains("baton") || !in.contains("tenure")) {
    respond({400, "{}"});
    return;
  }
  if (in["baton"] < baton_ || in["tenure"] != tenure_) {
    respond({409, status().dump()});
    return;
  }
  baton_ = in["baton"];
  apply(in["orders"]);
  respond({200, status().dump()});
}

void Worker::apply(const Json& orders) {
  for (const auto& order : orders) {
    const std::string verb = order["verb"], piece = order["piece"];
    const std::uint64_t attempt = order["try"];
    world_.record.line("machine " + id + " is ordered: " + verb + " " + piece + " try " +
                       std::to_string(attempt));
    if (verb == "run") {
      if (world_.on_ordered) world_.on_ordered(piece, id, answered_report_);
      run(piece, attempt);
      continue;
    }
    for (auto& task : tasks_) {
      if (piece_name(task.job, task.index) != piece || task.attempt != attempt) continue;
      if (verb == "kill") {
        kill(task, order.value("leewayS", 0.0));
      } else if (verb == "clear" && task.stage == "exited") {
        task.job.clear();
      }
    }
    std::erase_if(tasks_, [](const Task& task) { return task.job.empty(); });
  }
}

std::string Worker::refusal(const std::string& job, int index, std::uint64_t attempt) const {
  const auto found = world_.jobs.find(job);
  if (found == world_.jobs.end() || index >= found->second->pieces()) return "no_such";
  double cores = type.cores, accelerators = type.accelerators, ram = type.ram_gb;
  for (const auto& task : tasks_) {
    if (task.stage == "exited") continue;
    if (task.job == job && task.index == index && task.attempt != attempt) return "in_use";
    const Job& other = *world_.jobs.at(task.job);
    cores -= other.number("cores");
    accelerators -= other.number("accelerators");
    ram -= other.number("ramGb");
  }
  const Job& wanted = *found->second;
  const bool fits = wanted.number("cores") <= cores + 1e-6 &&
                    wanted.number("accelerators") <= accelerators + 1e-6 &&
                    wanted.number("ramGb") <= ram + 1e-6;
  return fits ? "" : "no_room";
}

void Worker::run(const std::string& piece, std::uint64_t attempt) {
  const auto slash = piece.rfind('/');
  const std::string job = piece.substr(0, slash);
  const int index = std::atoi(piece.c_str() + slash + 1);
  for (const auto& task : tasks_) {
    if (task.job == job && task.index == index && task.attempt == attempt) return;
  }
  const auto cause = refusal(job, index, attempt);
  Task task;
  task.job = job;
  task.index = index;
  task.attempt = attempt;
  task.since = world_.loop.now();
  tasks_.push_back(task);
  if (!cause.empty()) exit(tasks_.back(), cause);
  request_report();
}

void Worker::kill(Task& task, double leeway) {
  if (task.stage == "exited") return;
  const Job& job = *world_.jobs.at(task.job);
  if (task.stage == "running" && job.number("bookmarkS") > 0 && leeway >= job.number("stashS")) {
    task.stage = "saving";
    task.since = world_.loop.now();
    request_report();
    return;
  }
  if (task.stage == "saving" && leeway > 0) return;
  exit(task, "halted");
}

void Worker::exit(Task& task, const std::string& cause) {
  const auto found = world_.jobs.find(task.job);
  if (found != world_.jobs.end() && (task.stage == "running" || task.stage == "saving")) {
    Job& job = *found->second;
    const double interval = job.number("bookmarkS");
    const int key = job.gang() ? 0 : task.index;
    const double safe = task.stored    ? task.progress
                        : interval > 0 ? std::floor(task.progress / interval) * interval
                                       : 0;
    job.saved[key] = std::max(job.saved[key], safe);
  }
  if (task.present) world_.present[{task.job, task.index}].erase(id);
  task.present = false;
  task.stage = "exited";
  task.cause = cause;
  world_.record.line("machine " + id + ": " + piece_name(task.job, task.index) + " try " +
                     std::to_string(task.attempt) + " exits: " + cause +
                     (task.stored ? ", stored" : ""));
  request_report();
}

// Fetches the images that tasks wait for. They share the machine's rate. A fetch that no task waits
// for any more is given up.
void Worker::fetch(double seconds) {
  std::map<std::string, double> wanted;  // GB by image
  for (const auto& task : tasks_) {
    if (task.stage != "pulling") continue;
    const Job& job = *world_.jobs.at(task.job);
    const std::string image = job.body["bundle"];
    if (images_.count(image) == 0) wanted[image] = job.number("imageGb");
  }
  std::erase_if(fetched_gb_, [&](const auto& entry) { return wanted.count(entry.first) == 0; });
  for (const auto& [image, gb] : wanted) {
    fetched_gb_[image] += type.fetch_gb_per_s * world_.cloud.fetch_factor * seconds /
                          static_cast<double>(wanted.size());
    if (fetched_gb_[image] < gb) continue;
    images_.insert(image);
    fetched_gb_.erase(image);
    world_.record.line("machine " + id + " has image " + image);
  }
}

bool Worker::gang_running(const Task& task) const {
  const Job& job = *world_.jobs.at(task.job);
  std::set<int> ready;
  for (const auto& [name, worker] : world_.cloud.workers) {
    for (const auto& other : worker->tasks_) {
      if (other.job != task.job || other.attempt != task.attempt) continue;
      if (other.stage == "gathering" || other.stage == "running") ready.insert(other.index);
    }
  }
  return static_cast<int>(ready.size()) == job.pieces();
}

bool Worker::gang_lost_a_task(const Task& task) const {
  const Job& job = *world_.jobs.at(task.job);
  std::set<int> alive;
  for (const auto& [name, worker] : world_.cloud.workers) {
    for (const auto& other : worker->tasks_) {
      if (other.job == task.job && other.attempt == task.attempt && other.stage != "exited") {
        alive.insert(other.index);
      }
    }
  }
  return static_cast<int>(alive.size()) < job.pieces();
}

void Worker::advance(Task& task, double seconds) {
  const auto found = world_.jobs.find(task.job);
  if (task.stage == "exited" || found == world_.jobs.end()) return;
  Job& job = *found->second;
  const double now = world_.loop.now();
  const auto enter = [&](const std::string& stage) {
    task.stage = stage;
    task.since = now;
    request_report();
  };
  if (task.stage == "pulling") {
    if (images_.count(job.body["bundle"]) == 0) return;
    task.present = true;
    auto& machines = world_.present[{task.job, task.index}];
    machines.insert(id);
    if (machines.size() > 1) world_.rules_broken.push_back("ran_twice " + task.job);
    if (world_.on_present) world_.on_present(task.job, task.index, id);
    world_.record.line("machine " + id + ": " + piece_name(task.job, task.index) + " try " +
                       std::to_string(task.attempt) + " is on the machine");
    if (job.done.count(task.index) != 0) {
      exit(task, "done");
    } else if (job.gang() && job.pieces() > 1) {
      enter("gathering");
    } else {
      task.progress = job.saved[job.gang() ? 0 : task.index];
      enter("running");
      if (world_.on_running) world_.on_running(task.job, task.index, id);
    }
  } else if (task.stage == "gathering") {
    if (gang_running(task)) {
      task.progress = job.saved[0];
      enter("running");
      world_.record.line("machine " + id + ": " + piece_name(task.job, task.index) +
                         " runs, its gang is complete");
      if (world_.on_running) world_.on_running(task.job, task.index, id);
    } else if (now - task.since > world_.timing.gang_wait_s) {
      exit(task, "alone");
    }
  } else if (task.stage == "running") {
    task.progress += seconds;
    if (job.gang() && job.pieces() > 1 && gang_lost_a_task(task)) {
      // The others notice within gang_peer_s; here after half of it.
      task.lost_for += seconds;
      if (task.lost_for >= world_.timing.gang_peer_s / 2) exit(task, "peers");
      return;
    }
    if (task.progress >= job.run_s) {
      for (int index = 0; index < (job.gang() ? job.pieces() : 1); ++index) {
        job.done.insert(job.gang() ? index : task.index);
      }
      exit(task, "done");
      if (world_.on_done) world_.on_done(task.job, task.index, id);
    }
  } else if (task.stage == "saving" && now - task.since >= job.number("stashS")) {
    task.stored = true;
    exit(task, "halted");
  }
}

// ---- Cloud ----

Cloud::Cloud(World& world) : world_(world), requests_(world.timing.cloud_rps) {
  requests_.burst_seconds = 2;
  for (int node = 0; node < World::kNodes; ++node) {
    servers_.push_back(std::make_unique<Server>(
        world.loop, [this](const Request& request, const Respond& respond) {
          // The cloud takes about a tenth of a second.
          world_.loop.after(0.12, [this, request, respond] { handle(request, respond); });
        }));
  }
}

std::string Cloud::add(const std::string& type, const std::string& zone, bool spot, double rented,
                       double up) {
  char name[32];
  std::snprintf(name, sizeof name, "n-%06d", ++last_number_);
  const std::string id = name;
  machines_[id] = {type, zone, spot, rented, up};
  const auto found = std::find_if(types.begin(), types.end(),
                                  [&](const MachineType& known) { return known.name == type; });
  auto worker = std::make_shared<Worker>(world_, id, *found, zone, spot);
  workers[id] = worker;
  world_.loop.after(std::max(0.0, up - world_.loop.now()), [this, id, worker] {
    if (worker->gone) return;
    world_.record.line("machine " + id + " of type " + worker->type.name + " is up in " +
                       worker->zone);
    worker->start();
  });
  return id;
}

std::string Cloud::add_running(const std::string& type, const std::string& zone, bool spot) {
  return add(type, zone, spot, world_.loop.now() - 600, world_.loop.now());
}

void Cloud::take(const std::string& id) {
  machines_.at(id).gone = world_.loop.now();
  workers.at(id)->vanish();
  world_.record.line("TROUBLE: the cloud takes machine " + id + " back without notice");
}

std::size_t Cloud::rental_requests(const std::string& type) const {
  const auto found = requested_.find(type);
  return found == requested_.end() ? 0 : found->second;
}

int Cloud::in_use(const std::string& pool) const {
  return static_cast<int>(std::count_if(machines_.begin(), machines_.end(), [&](const auto& entry) {
    const auto& machine = entry.second;
    return machine.gone > world_.loop.now() &&
           pool_of(machine.type, machine.zone, machine.spot) == pool;
  }));
}

void Cloud::handle(const Request& request, const Respond& respond) {
  if (!requests_.take(1, world_.loop.now())) {
    respond({429, R"({"error":"too many requests"})"});
    return;
  }
  const auto path = request.target.substr(0, request.target.find('?'));
  const auto body = Json::parse(request.body, nullptr, false);
  if (path == "/machine_types") {
    Json flavors = Json::array();
    for (const auto& type : types) {
      flavors.push_back({{"name", type.name},
                         {"cores", type.cores},
                         {"accelerators", type.accelerators},
                         {"ramGb", type.ram_gb},
                         {"localGb", type.cache_gb},
                         {"pullGbPerS", type.fetch_gb_per_s},
                         {"price", type.price},
                         {"marketPrice", type.spot_price},
                         {"readyS", type.ready_s},
                         {"yards", type.zones}});
    }
    respond({200, Json{{"flavors", flavors}}.dump()});
  } else if (request.method == "GET" && path == "/machines") {
    respond(list(query_of(request.target)));
  } else if (path == "/machines") {
    respond(rent(body));
  } else {
    respond(return_machines(body));
  }
}

Response Cloud::rent(const Json& body) {
  const std::string ask = body["ask"], type = body["flavor"], zone = body["yard"];
  const bool spot = body["loaner"];
  const int wanted = body["howMany"];
  ++requested_[type];
  if (granted_.count(ask) != 0) return {200, granted_[ask].dump()};
  const auto pool = pool_of(type, zone, spot);
  const auto limit = capacity.find(pool);
  const int room = limit == capacity.end() ? 50 : std::max(0, limit->second - in_use(pool));
  const int count = std::min({wanted, 50, room});
  world_.record.line("cloud: asked for " + std::to_string(wanted) + " " + pool + ", gives " +
                     std::to_string(count));
  if (count == 0) return {503, R"({"error":"no capacity"})"};
  Json hosts = Json::array();
  for (int i = 0; i < count; ++i) {
    hosts.push_back(add(type, zone, spot, world_.loop.now(), world_.loop.now() + boot_s));
  }
  granted_[ask] = {{"hosts", hosts}};
  return {200, granted_[ask].dump()};
}

Response Cloud::return_machines(const Json& body) {
  for (const auto& host : body["hosts"]) {
    const auto found = machines_.find(host);
    if (found == machines_.end() || found->second.gone < world_.loop.now()) continue;
    found->second.gone = world_.loop.now();
    workers.at(host)->vanish();
    world_.record.line("cloud: machine " + host.get<std::string>() + " is returned");
  }
  return {200, "{}"};
}

// Describes the machines as they were the list lag ago.
Response Cloud::list(const std::map<std::string, std::string>& query) const {
  const double at = world_.loop.now() - world_.timing.list_lag_s;
  const auto since = text_or(query, "since");
  const auto limit = std::min<std::uint64_t>(number_or(query, "limit", 500), 500);
  Json hosts = Json::array();
  bool more = false;
  for (const auto& [id, machine] : machines_) {
    if (id <= since || machine.rented > at || machine.gone <= at) continue;
    if (hosts.size() >= limit) {
      more = true;
      break;
    }
    hosts.push_back(
        {{"ref", id},
         {"endpoint", workers.at(id)->gone ? "127.0.0.1:9" : workers.at(id)->endpoint()},
         {"flavor", machine.type},
         {"yard", machine.zone},
         {"loaner", machine.spot},
         {"stage", machine.up > at ? "booting" : "running"},
         {"ageS", at - machine.rented}});
  }
  return {200, Json{{"hosts", hosts}, {"hasNext", more}}.dump()};
}

// ---- World ----

World::World(Loop& event_loop, Record& event_record, Timing times, std::vector<std::string> command,
             std::string directory)
    : loop(event_loop),
      record(event_record),
      timing(times),
      state(loop, record, timing, kNodes),
      cloud(*this),
      command_(std::move(command)),
      directory_(std::move(directory)) {
  const auto ports = free_ports(2 * kNodes);
  for (int node = 0; node < kNodes; ++node) {
    api_ports.push_back(ports[static_cast<std::size_t>(node)]);
    peer_ports_.push_back(ports[static_cast<std::size_t>(kNodes + node)]);
    names.push_back("ghat-" + std::to_string(node));
  }
  for (int from = 0; from < kNodes; ++from) {
    for (int to = 0; to < kNodes; ++to) {
      if (from == to) continue;
      peer_links_[{from, to}] =
          std::make_unique<Proxy>(loop, peer_ports_[static_cast<std::size_t>(to)]);
    }
  }
}

World::~World() { stop_nodes(); }

void World::start_nodes(const std::string& teams, const std::string& objectives) {
  for (std::size_t node = 0; node < kNodes; ++node) {
    std::ofstream out(directory_ + "/" + names[node] + ".toml");
    const auto at = [](int port) { return "\"127.0.0.1:" + std::to_string(port) + "\"\n"; };
    out << "node = \"" << names[node] << "\"\nzone = \"" << zones[node]
        << "\"\napi_addr = " << at(api_ports[node]) << "cluster_listen = " << at(peer_ports_[node]);
    for (std::size_t peer = 0; peer < kNodes; ++peer) {
      if (peer == node) continue;
      out << "[[siblings]]\nnode = \"" << names[peer] << "\"\nzone = \"" << zones[peer]
          << "\"\naddress = "
          << at(peer_links_.at({static_cast<int>(node), static_cast<int>(peer)})->port());
    }
    out << "[external]\ncloud = " << at(cloud.port(static_cast<int>(node)))
        << "state = " << at(state.port(static_cast<int>(node)))
        << "[cluster]\ncount = 3\nzones = [\"north\", \"south\", \"east\"]\nclock_off_ms = 250.0\n"
        << teams << objectives << std::fixed << "[cluster.workers]\nreport_s = " << timing.report_s
        << "\nlease_s = " << timing.lease_s << "\ngang_wait_s = " << timing.gang_wait_s
        << "\ngang_peer_s = " << timing.gang_peer_s << "\ncancel_s = " << timing.cancel_s
        << "\n[cluster.state]\nrps = " << timing.state_rps
        << "\nwrite_rps = " << timing.state_write_rps << "\nvalue_kb = " << timing.value_kb << ".0"
        << "\ntxn_ops = " << timing.txn_ops << "\n[cluster.cloud]\nrps = " << timing.cloud_rps
        << "\nlist_lag_s = " << timing.list_lag_s
        << "\n[cluster.machine_limits]\ncpu_share = 0.12\nram_mb = 72.0\nmax_connections = 800\n";
  }
  for (int node = 0; node < kNodes; ++node) start_node(node);
}

void World::start_node(int node) {
  const auto index = static_cast<std::size_t>(node);
  auto arguments = command_;
  arguments.push_back(directory_ + "/" + names[index] + ".toml");
  std::vector<char*> pointers;
  for (auto& argument : arguments) pointers.push_back(argument.data());
  pointers.push_back(nullptr);
  const std::string log = directory_ + "/" + names[index] + ".log";
  const pid_t parent = getpid(), child = fork();
  if (child == 0) {
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    const int fd = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600);
    if (getppid() == parent && dup2(fd, STDOUT_FILENO) >= 0 && dup2(fd, STDERR_FILENO) >= 0) {
      execv(pointers[0], pointers.data());
    }
    _exit(127);
  }
  if (child < 0) throw std::runtime_error("cannot start a controller");
  processes_[index] = child;
  record.line("controller " + names[index] + " is started");
}

void World::signal_node(int node, int signal) {
  auto& process = processes_[static_cast<std::size_t>(node)];
  if (process == 0) return;
  kill(process, signal);
  record.line("TROUBLE: signal " + std::to_string(signal) + " to controller " +
              names[static_cast<std::size_t>(node)]);
  if (signal != SIGKILL) return;
  waitpid(process, nullptr, 0);
  process = 0;
}

void World::cut_zone(const std::string& zone) {
  cut_zone_name = zone;
  record.line("TROUBLE: zone " + zone + " is cut off, connections across the cut are reset");
  for (int node = 0; node < kNodes; ++node) {
    if (zones[static_cast<std::size_t>(node)] != zone) continue;
    state.set_cut(node, true);
    cloud.set_cut(node, true);
    for (const auto& [ends, link] : peer_links_) {
      if (ends.first == node || ends.second == node) link->set_cut(true);
    }
  }
}

void World::hold_node(int node, bool held) {
  record.line((held ? "TROUBLE: " : "the cut ends: ") + names[static_cast<std::size_t>(node)] +
              (held ? " is cut from state service, cloud and controllers" : ""));
  state.set_held(node, held);
  cloud.set_held(node, held);
  for (const auto& [ends, link] : peer_links_) {
    if (ends.first == node || ends.second == node) link->set_held(held);
  }
}

void World::end_cut() {
  cut_zone_name.clear();
  record.line("the cut ends");
  for (int node = 0; node < kNodes; ++node) {
    state.set_cut(node, false);
    cloud.set_cut(node, false);
  }
  for (const auto& [ends, link] : peer_links_) link->set_cut(false);
}

void World::check_nodes() {
  for (auto& process : processes_) {
    int status = 0;
    if (process == 0 || waitpid(process, &status, WNOHANG) != process) continue;
    process = 0;
    throw std::runtime_error("a controller has ended by itself, wait status " +
                             std::to_string(status));
  }
}

void World::stop_nodes() {
  for (auto& process : processes_) {
    if (process == 0) continue;
    kill(process, SIGKILL);
    waitpid(process, nullptr, 0);
    process = 0;
  }
}

void World::submit(const std::shared_ptr<Job>& job, const std::function<void()>& accepted) {
  jobs[job->ref()] = job;
  const int node = next_node();
  record.line("user submits " + job->ref() + " to " + names[static_cast<std::size_t>(node)]);
  send_request(loop, api_ports[static_cast<std::size_t>(node)],
               {"POST", "/v2/runs", job->body.dump()}, 5,
               [this, job, accepted](const Response& response) {
                 record.line("answer to the submission of " + job->ref() + ": " +
                             std::to_string(response.status) + " " + response.body);
                 if (response.status == 200 || response.status == 201) {
                   accepted();
                 } else if (response.status != 400 && response.status != 422) {
                   loop.after(1, [this, job, accepted] { submit(job, accepted); });
                 }
               });
}

void World::abort(const std::string& ref, const std::function<void(std::string)>& answered) {
  const int node = next_node();
  record.line("user cancels " + ref + " at " + names[static_cast<std::size_t>(node)]);
  send_request(loop, api_ports[static_cast<std::size_t>(node)],
               {"POST", "/v2/runs/" + ref + "/abort", ""}, 5,
               [this, ref, answered](const Response& response) {
                 record.line("answer to the cancellation of " + ref + ": " +
                             std::to_string(response.status) + " " + response.body);
                 const auto answer = Json::parse(response.body, nullptr, false);
                 if (response.status == 200 && answer.is_object()) {
                   answered(answer["stage"]);
                 } else {
                   loop.after(1, [this, ref, answered] { abort(ref, answered); });
                 }
               });
}

void World::poll(const std::string& ref, double interval) {
  const int node = next_node();
  send_request(loop, api_ports[static_cast<std::size_t>(node)], {"GET", "/v2/runs/" + ref, ""}, 2,
               [this, ref, interval](const Response& response) {
                 record.line("poll of " + ref + ": " + std::to_string(response.status) + " " +
                             response.body);
                 const auto answer = Json::parse(response.body, nullptr, false);
                 if (response.status == 200 && answer.is_object()) stage[ref] = answer["stage"];
                 if (stage[ref] == "done" || stage[ref] == "withdrawn") return;
                 loop.after(interval, [this, ref, interval] { poll(ref, interval); });
               });
}

}  // namespace stage
