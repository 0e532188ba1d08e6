#include "world.hpp"

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <csignal>
#include <cstdarg>
#include <cstdlib>
#include <fstream>
#include <stdexcept>

namespace review {
namespace {

using Clock = std::chrono::steady_clock;

constexpr double kReportTimeout = 4;   // s
constexpr double kNextNodeDelay = 1;   // s
constexpr double kMinReportGap = 0.5;  // s
constexpr std::size_t kKeptChanges = 10000;
constexpr std::size_t kMaxListItems = 1000;
constexpr std::size_t kMaxListBytes = 512 * 1024;

const Clock::time_point kBegan = Clock::now();
std::FILE* record_file = nullptr;

HttpServer::Limits service_limits() {
  HttpServer::Limits limits;
  limits.connections = limits.keep_alive_connections = 4000;
  return limits;
}

std::map<std::string, std::string> query_of(const std::string& target) {
  std::map<std::string, std::string> query;
  auto at = target.find('?');
  while (at != std::string::npos) {
    const auto end = target.find('&', at + 1);
    const auto pair = target.substr(at + 1, end == std::string::npos ? end : end - at - 1);
    const auto equals = pair.find('=');
    if (equals != std::string::npos) query[pair.substr(0, equals)] = pair.substr(equals + 1);
    at = end;
  }
  return query;
}

std::uint64_t number_or(const std::map<std::string, std::string>& query, const char* name,
                        std::uint64_t fallback) {
  const auto found = query.find(name);
  return found == query.end() ? fallback : std::stoull(found->second);
}

std::string job_of(const std::string& piece) { return piece.substr(0, piece.find('/')); }

int free_port() {
  uv_loop_t loop;
  uv_loop_init(&loop);
  uv_tcp_t tcp;
  uv_tcp_init(&loop, &tcp);
  sockaddr_in address{};
  uv_ip4_addr("127.0.0.1", 0, &address);
  uv_tcp_bind(&tcp, reinterpret_cast<const sockaddr*>(&address), 0);
  int size = sizeof address;
  uv_tcp_getsockname(&tcp, reinterpret_cast<sockaddr*>(&address), &size);
  uv_close(reinterpret_cast<uv_handle_t*>(&tcp), nullptr);
  uv_run(&loop, UV_RUN_DEFAULT);
  uv_loop_close(&loop);
  return ntohs(address.sin_port);
}

std::string loopback(int port) { return "127.0.0.1:" + std::to_string(port); }

}  // namespace

double now() { return std::chrono::duration<double>(Clock::now() - kBegan).count(); }

void record(const char* format, ...) {
  if (record_file == nullptr) return;
  std::fprintf(record_file, "%8.3f ", now());
  va_list arguments;
  va_start(arguments, format);
  std::vfprintf(record_file, format, arguments);
  va_end(arguments);
  std::fputc('\n', record_file);
  std::fflush(record_file);
}

double setting(const char* name, double fallback) {
  const char* value = std::getenv(name);
  return value == nullptr || *value == 0 ? fallback : std::atof(value);
}

// ---- State service ----

void StateService::handle(const HttpRequest& request, const Respond& respond) {
  const auto path = request.target.substr(0, request.target.find('?'));
  const auto query = query_of(request.target);
  if (request.method == "GET" && path == "/keys") {
    list(query, respond);
  } else if (request.method == "GET" && path.starts_with("/keys/")) {
    get(path, respond);
  } else if (request.method == "GET" && path == "/watch") {
    const auto prefix = query.find("prefix");
    Watch watch{prefix == query.end() ? "" : prefix->second, number_or(query, "since", 0),
                now() + static_cast<double>(number_or(query, "blockMs", 0)) / 1000, respond};
    if (!changes_.empty() && watch.since + 1 < changes_.front().version &&
        changes_.size() >= kKeptChanges) {
      respond({410, "{}"});
    } else if (!answer(watch, now() >= watch.until)) {
      watches_.push_back(std::move(watch));
    }
  } else if (request.method == "POST" && path == "/txn") {
    transact(request.body, respond);
  } else if (request.method == "POST" && path == "/grants") {
    const auto id = next_lease_++;
    const double ttl = Json::parse(request.body).at("ttlMs").get<double>() / 1000;
    leases_[id] = {ttl, now() + ttl};
    respond({200, Json{{"hold", id}}.dump()});
  } else if (path.starts_with("/grants/")) {
    const auto id = std::stoull(path.substr(8));
    const auto lease = leases_.find(id);
    if (lease == leases_.end()) {
      respond({404, "{}"});
      return;
    }
    if (request.method == "DELETE") {
      end_lease(id);
    } else {
      lease->second.expires = now() + lease->second.ttl;
    }
    respond({200, Json{{"hold", id}}.dump()});
  } else {
    respond({400, R"({"error":"malformed"})"});
  }
}

void StateService::get(const std::string& path, const Respond& respond) const {
  const auto item = items_.find(path.substr(6));
  if (item == items_.end()) {
    respond({404, Json{{"ledger", ledger_}}.dump()});
    return;
  }
  Json body{{"key", item->first}, {"value", item->second.value}, {"stamp", item->second.version}};
  if (item->second.hold != 0) body["hold"] = item->second.hold;
  respond({200, body.dump()});
}

void StateService::list(const std::map<std::string, std::string>& query,
                        const Respond& respond) const {
  const auto found = query.find("prefix");
  const std::string prefix = found == query.end() ? "" : found->second;
  const auto limit = std::min<std::size_t>(number_or(query, "limit", kMaxListItems), kMaxListItems);
  const auto since = query.find("since");
  auto item = items_.lower_bound(prefix);
  if (since != query.end())
    item = std::max(item, items_.upper_bound(since->second),
                    [](auto a, auto b) { return a->first < b->first; });
  Json items = Json::array();
  std::size_t bytes = 0;
  bool more = false;
  for (; item != items_.end() && item->first.starts_with(prefix); ++item) {
    Json entry{
        {"key", item->first}, {"value", item->second.value}, {"stamp", item->second.version}};
    bytes += entry.dump().size() + 1;
    if (items.size() >= limit || bytes > kMaxListBytes) {
      more = true;
      break;
    }
    items.push_back(std::move(entry));
  }
  respond({200, Json{{"items", items}, {"hasNext", more}, {"ledger", ledger_}}.dump()});
}

void StateService::transact(const std::string& body, const Respond& respond) {
  const auto txn = Json::parse(body);
  const Json none = Json::array();
  const Json& when = txn.contains("when") ? txn["when"] : none;
  const Json& apply = txn.contains("apply") ? txn["apply"] : none;
  bool too_large = apply.size() > max_changes || when.size() > 4 * max_changes;
  for (const auto& change : apply) {
    if (change.contains("put") && change.at("value").dump().size() > value_bytes) too_large = true;
  }
  if (too_large) {
    ++refused;
    record("state service: a transaction of %zu changes is refused, too large", apply.size());
    respond({400, R"({"error":"too large"})"});
    return;
  }
  for (const auto& change : apply) {
    const auto hold = change.value("hold", std::uint64_t{0});
    if (change.contains("put") && hold != 0 && leases_.count(hold) == 0) {
      respond({400, R"({"error":"no such lease"})"});
      return;
    }
  }
  Json failed = Json::array();
  for (const auto& condition : when) {
    const auto item = items_.find(condition.at("key").get<std::string>());
    const auto version = item == items_.end() ? 0 : item->second.version;
    if (version != condition.at("stamp").get<std::uint64_t>()) failed.push_back(condition["key"]);
  }
  std::string keys;
  for (const auto& change : apply) {
    keys += " " + (change.contains("put") ? change["put"] : change["drop"]).get<std::string>();
  }
  record("state service: transaction on%s: %s", keys.c_str(), failed.empty() ? "200" : "409");
  if (!failed.empty()) {
    respond({409, Json{{"failed", failed}, {"ledger", ledger_}}.dump()});
    return;
  }
  if (!apply.empty()) ++ledger_;
  for (const auto& change : apply) {
    if (change.contains("put")) {
      put(change["put"], change.at("value"), change.value("hold", std::uint64_t{0}));
    } else {
      drop(change.at("drop"));
    }
  }
  respond({200, Json{{"ledger", ledger_}}.dump()});
  tick();
}

void StateService::put(const std::string& key, Json value, std::uint64_t hold) {
  items_[key] = {std::move(value), ledger_, hold};
  changes_.push_back({ledger_, key, false});
  if (changes_.size() > kKeptChanges) changes_.pop_front();
}

void StateService::drop(const std::string& key) {
  if (items_.erase(key) == 0) return;
  changes_.push_back({ledger_, key, true});
  if (changes_.size() > kKeptChanges) changes_.pop_front();
}

void StateService::end_lease(std::uint64_t id) {
  leases_.erase(id);
  std::vector<std::string> keys;
  for (const auto& [key, item] : items_) {
    if (item.hold == id) keys.push_back(key);
  }
  if (!keys.empty()) ++ledger_;
  for (const auto& key : keys) drop(key);
}

// Answers the watch if a key has changed or its time is over. Returns whether it did.
bool StateService::answer(Watch& watch, bool expired) {
  Json news = Json::array();
  std::set<std::string> keys;
  for (auto change = changes_.rbegin(); change != changes_.rend(); ++change) {
    if (change->version <= watch.since) break;
    if (!change->key.starts_with(watch.prefix) || !keys.insert(change->key).second) continue;
    if (change->dropped) {
      news.push_back({{"drop", change->key}, {"stamp", change->version}});
    } else {
      news.push_back({{"put", change->key},
                      {"value", items_.at(change->key).value},
                      {"stamp", change->version}});
    }
  }
  if (news.empty() && !expired) return false;
  std::reverse(news.begin(), news.end());
  watch.respond({200, Json{{"ledger", ledger_}, {"news", news}}.dump()});
  return true;
}

void StateService::tick() {
  std::vector<std::uint64_t> expired;
  for (const auto& [id, lease] : leases_) {
    if (lease.expires < now()) expired.push_back(id);
  }
  for (const auto id : expired) end_lease(id);
  std::erase_if(watches_, [this](Watch& watch) { return answer(watch, now() >= watch.until); });
}

// ---- Relay ----

/// Both ends of a relayed connection. Only the accepted end sends.
struct Relay::Pipe {
  Relay* owner = nullptr;
  uv_tcp_t from{}, to{};
  uv_connect_t connect{};
  bool connected = false, closing = false;
  int open_handles = 2;
  char buffer[65536];

  struct Write {
    uv_write_t request{};
    std::string data;
  };

  void close() {
    if (closing) return;
    closing = true;
    owner->pipes_.erase(this);
    const auto closed = [](uv_handle_t* handle) {
      auto* pipe = static_cast<Pipe*>(handle->data);
      if (--pipe->open_handles == 0) delete pipe;
    };
    uv_close(reinterpret_cast<uv_handle_t*>(&from), closed);
    uv_close(reinterpret_cast<uv_handle_t*>(&to), closed);
  }
};

Relay::Relay(uv_loop_t* loop, std::string target) : loop_(loop), target_(std::move(target)) {
  sockaddr_in address{};
  uv_ip4_addr("127.0.0.1", 0, &address);
  uv_tcp_init(loop_, &listener_);
  listener_.data = this;
  uv_tcp_bind(&listener_, reinterpret_cast<const sockaddr*>(&address), 0);
  int size = sizeof address;
  uv_tcp_getsockname(&listener_, reinterpret_cast<sockaddr*>(&address), &size);
  port_ = ntohs(address.sin_port);
  uv_listen(reinterpret_cast<uv_stream_t*>(&listener_), 64, [](uv_stream_t* listener, int status) {
    if (status == 0) static_cast<Relay*>(listener->data)->accept();
  });
}

void Relay::accept() {
  auto* pipe = new Pipe;
  pipe->owner = this;
  uv_tcp_init(loop_, &pipe->from);
  uv_tcp_init(loop_, &pipe->to);
  pipe->from.data = pipe->to.data = pipe->connect.data = pipe;
  pipes_.insert(pipe);
  if (uv_accept(reinterpret_cast<uv_stream_t*>(&listener_),
                reinterpret_cast<uv_stream_t*>(&pipe->from)) != 0) {
    pipe->close();
    return;
  }
  const auto colon = target_.rfind(':');
  sockaddr_in address{};
  uv_ip4_addr(target_.substr(0, colon).c_str(), std::stoi(target_.substr(colon + 1)), &address);
  uv_tcp_connect(&pipe->connect, &pipe->to, reinterpret_cast<const sockaddr*>(&address),
                 [](uv_connect_t* request, int status) {
                   auto* connected = static_cast<Pipe*>(request->data);
                   if (connected->closing) return;
                   if (status != 0) {
                     connected->close();
                     return;
                   }
                   connected->connected = true;
                   if (!connected->owner->cut_) read(connected);
                 });
}

void Relay::read(Pipe* pipe) {
  uv_read_start(
      reinterpret_cast<uv_stream_t*>(&pipe->from),
      [](uv_handle_t* handle, std::size_t, uv_buf_t* buffer) {
        auto* reader = static_cast<Pipe*>(handle->data);
        *buffer = uv_buf_init(reader->buffer, sizeof reader->buffer);
      },
      [](uv_stream_t* stream, ssize_t size, const uv_buf_t* buffer) {
        auto* reader = static_cast<Pipe*>(stream->data);
        if (size < 0) {
          reader->close();
          return;
        }
        auto* write = new Pipe::Write;
        write->data.assign(buffer->base, static_cast<std::size_t>(size));
        write->request.data = write;
        const uv_buf_t out =
            uv_buf_init(write->data.data(), static_cast<unsigned>(write->data.size()));
        uv_write(&write->request, reinterpret_cast<uv_stream_t*>(&reader->to), &out, 1,
                 [](uv_write_t* request, int) { delete static_cast<Pipe::Write*>(request->data); });
      });
}

void Relay::set_cut(bool cut) {
  cut_ = cut;
  for (auto* pipe : pipes_) {
    if (cut) {
      uv_read_stop(reinterpret_cast<uv_stream_t*>(&pipe->from));
    } else if (pipe->connected) {
      read(pipe);
    }
  }
}

// ---- Deployment ----

World::World(Config settings) : config(std::move(settings)) {
  const auto seed = static_cast<std::uint64_t>(setting("SEED", 0));
  rng.seed(seed != 0 ? seed : std::random_device{}());
  std::signal(SIGPIPE, SIG_IGN);  // a write to a killed process must not end this one
  record_file = std::fopen(config.record.c_str(), "w");
  uv_loop_init(&loop_);
  uv_timer_init(&loop_, &timer_);
  uv_timer_start(
      &timer_, [](uv_timer_t*) {}, 5, 5);
  client_ = std::make_unique<HttpClient>(&loop_, 6000);
  state.value_bytes = static_cast<std::size_t>(config.value_kb * 1024);
  state.max_changes = static_cast<std::size_t>(config.txn_ops);
  worker_port_ = free_port();
  servers_.push_back(std::make_unique<HttpServer>(
      &loop_, service_limits(), [this](const HttpRequest& request, const Respond& respond) {
        respond(handle_cloud(request));
      }));
  servers_.back()->listen(loopback(free_port()));
  nodes_.resize(static_cast<std::size_t>(config.nodes));
  for (auto& node : nodes_) {
    node.api = loopback(free_port());
    node.gossip = loopback(free_port());
    node.state = std::make_unique<HttpServer>(
        &loop_, service_limits(),
        [this, &node](const HttpRequest& request, const Respond& respond) {
          if (node.cut) return;
          state.handle(request, [&node, respond](HttpResponse response) {
            if (!node.cut) respond(std::move(response));
          });
        });
    node.state->listen(loopback(free_port()));
  }
  for (auto& node : nodes_) {
    for (int i = 0; i < config.nodes; ++i) {
      const auto& other = nodes_[static_cast<std::size_t>(i)];
      if (&other != &node) node.to[i] = std::make_unique<Relay>(&loop_, other.gossip);
    }
  }
  for (int i = 0; i < config.nodes; ++i) write_settings(i);
}

void World::cut_node(int node, bool cut) {
  record("node ghat-%d: %s from the state service and the other nodes", node,
         cut ? "cut" : "no longer cut");
  nodes_[static_cast<std::size_t>(node)].cut = cut;
  for (int i = 0; i < config.nodes; ++i) {
    for (auto& [other, relay] : nodes_[static_cast<std::size_t>(i)].to) {
      if (i == node || other == node) relay->set_cut(cut);
    }
  }
}

World::~World() {
  for (int i = 0; i < config.nodes; ++i) kill_node(i);
}

void World::write_settings(int node) const {
  const auto& zones = config.zones;
  const auto zone = [&](int i) { return zones[static_cast<std::size_t>(i) % zones.size()]; };
  const auto& own = nodes_[static_cast<std::size_t>(node)];
  std::ofstream file(config.directory + "/ghat-" + std::to_string(node) + ".toml");
  file << "node = \"ghat-" << node << "\"\nzone = \"" << zone(node) << "\"\napi_addr = \""
       << own.api << "\"\ncluster_listen = \"" << own.gossip << "\"\n";
  for (int i = 0; i < config.nodes; ++i) {
    if (i == node) continue;
    file << "[[siblings]]\nnode = \"ghat-" << i << "\"\nzone = \"" << zone(i) << "\"\naddress = \""
         << loopback(own.to.at(i)->port()) << "\"\n";
  }
  file << "[external]\ncloud = \"" << loopback(servers_[0]->port()) << "\"\nstate = \""
       << loopback(own.state->port()) << "\"\n[cluster]\ncount = " << config.nodes
       << "\nzones = " << Json(zones).dump() << "\nclock_off_ms = 1000.0\n";
  file << std::showpoint;
  for (const auto& team : config.teams) {
    file << "[[cluster.teams]]\nname = " << team["name"];
    for (const char* field : {"cpus", "cpus_max", "gpus", "gpus_max"}) {
      file << "\n" << field << " = " << team.value(field, 0.0);
    }
    file << "\n";
  }
  file << "[cluster.workers]\nreport_s = " << config.report_s << "\nlease_s = " << config.lease_s
       << "\ngang_wait_s = " << config.gang_wait_s << "\ngang_peer_s = " << config.gang_peer_s
       << "\ncancel_s = " << config.cancel_s << "\n[cluster.state]\nrps = " << config.state_rps
       << "\nwrite_rps = " << config.state_write_rps << "\nvalue_kb = " << config.value_kb
       << "\ntxn_ops = " << config.txn_ops << "\n[cluster.cloud]\nrps = " << config.cloud_rps
       << "\nlist_lag_s = " << config.list_lag_s
       << "\n[cluster.machine_limits]\ncpu_share = " << config.cpu_share
       << "\nram_mb = " << config.ram_mb << "\nmax_connections = " << config.max_connections
       << "\n";
  if (!config.next.is_object()) return;
  file << "[cluster.state.next]\n";
  for (const auto& [name, value] : config.next.items()) file << name << " = " << value << "\n";
}

void World::start_node(int node) {
  kill_node(node);
  const auto base = config.directory + "/ghat-" + std::to_string(node);
  std::vector<std::string> arguments{config.binary, "--features", config.features, "--config",
                                     base + ".toml"};
  std::vector<char*> pointers;
  for (auto& argument : arguments) pointers.push_back(argument.data());
  pointers.push_back(nullptr);
  const int log = open((base + ".log").c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600);
  const pid_t parent = getpid();
  const pid_t child = fork();
  if (child == 0) {
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    if (getppid() == parent && dup2(log, STDOUT_FILENO) >= 0 && dup2(log, STDERR_FILENO) >= 0) {
      execv(pointers[0], pointers.data());
    }
    _exit(127);
  }
  close(log);
  nodes_[static_cast<std::size_t>(node)].process = child;
  record("node ghat-%d: started", node);
}

void World::kill_node(int node) {
  auto& process = nodes_[static_cast<std::size_t>(node)].process;
  if (process <= 0) return;
  kill(process, SIGKILL);
  waitpid(process, nullptr, 0);
  process = 0;
  record("node ghat-%d: killed", node);
}

void World::signal_node(int node, int signal) {
  kill(nodes_[static_cast<std::size_t>(node)].process, signal);
  record("node ghat-%d: signal %d", node, signal);
}

double World::peak_memory_mb(int node) const {
  const auto process = nodes_[static_cast<std::size_t>(node)].process;
  if (process <= 0) return 0;
  std::ifstream status("/proc/" + std::to_string(process) + "/status");
  for (std::string line; std::getline(status, line);) {
    if (line.starts_with("VmHWM:")) return std::atof(line.c_str() + 6) / 1024;
  }
  return 0;
}

int World::ended_node() {
  for (int i = 0; i < config.nodes; ++i) {
    auto& process = nodes_[static_cast<std::size_t>(i)].process;
    int status = 0;
    if (process <= 0 || waitpid(process, &status, WNOHANG) != process) continue;
    process = 0;
    record("node ghat-%d: ended by itself, wait status %d", i, status);
    return i;
  }
  return -1;
}

void World::run_for(double seconds_to_run) {
  wait_for([] { return false; }, seconds_to_run);
}

bool World::wait_for(const std::function<bool()>& condition, double limit_s) {
  const double end = now() + limit_s;
  while (!condition()) {
    if (now() >= end) return false;
    uv_run(&loop_, UV_RUN_ONCE);
    step();
  }
  return true;
}

void World::step() {
  state.tick();
  for (auto& [host, worker] : workers) step_worker(*worker);
}

HttpResponse World::ask(int node, const std::string& method, const std::string& target,
                        const std::string& body, double timeout_s) {
  auto result = std::make_shared<std::pair<bool, HttpResponse>>();
  client_->send(nodes_[static_cast<std::size_t>(node)].api, {method, target, body},
                std::chrono::milliseconds(static_cast<int>(timeout_s * 1000)),
                [result](HttpResponse response) {
                  *result = {true, std::move(response)};
                });
  wait_for([&] { return result->first; }, timeout_s + 1);
  return result->second;
}

bool World::submit(const Json& job, int node) {
  const std::string id = job.at("ref");
  jobs_[id] = job;
  const double end = now() + 60;
  while (now() < end) {
    const auto answer = ask(node, "POST", "/v2/runs", job.dump());
    record("user: submit %s to ghat-%d: %d %s", id.c_str(), node, answer.status,
           answer.body.c_str());
    if (answer.status == 201 || answer.status == 200) return true;
    if (answer.status == 400 || answer.status == 422) return false;
    run_for(1);
  }
  return false;
}

std::vector<std::string> World::places_of(const std::string& piece) const {
  std::vector<std::string> places;
  for (const auto& [host, worker] : workers) {
    for (const auto& [id, entry] : worker->pieces) {
      if (id.first == piece && entry.stage == "running") places.push_back(host);
    }
  }
  return places;
}

double World::random(double from, double to) {
  return std::uniform_real_distribution<double>(from, to)(rng);
}

// ---- Workers ----

Worker& World::add_machine(const std::string& flavor, const std::string& yard, double up_after) {
  const int number = ++machines_made_;
  char name[32];
  std::snprintf(name, sizeof name, "n-%06d", number);
  auto worker = std::make_unique<Worker>();
  worker->host = name;
  worker->endpoint = "127.20." + std::to_string(number / 250) + "." +
                     std::to_string(number % 250 + 1) + ":" + std::to_string(worker_port_);
  worker->flavor = flavor;
  worker->yard = yard;
  worker->up_at = now() + up_after;
  worker->renewed_at = worker->up_at;
  worker->next_report = worker->up_at + random(0, config.report_s);
  worker->node = static_cast<int>(random(0, config.nodes));
  Worker* raw = worker.get();
  HttpServer::Limits limits;
  limits.connections = limits.keep_alive_connections = 20;
  worker->server = std::make_unique<HttpServer>(
      &loop_, limits, [this, raw](const HttpRequest& request, const Respond& respond) {
        // A machine without power or behind a cut is silent.
        if (!hangs(*raw)) respond(handle_orders(*raw, request));
      });
  worker->server->listen(worker->endpoint);
  return *(workers[name] = std::move(worker));
}

bool World::hangs(const Worker& worker) const {
  return worker.gone || worker.cut || now() < worker.up_at;
}

void World::step_worker(Worker& worker) {
  const double time = now();
  if (worker.gone || time < worker.up_at) return;
  if (time - worker.renewed_at > config.lease_s) expire_session(worker);
  for (auto& [id, piece] : worker.pieces) {
    if (piece.stage == "pulling" && time >= piece.ready_at) {
      begin_piece(worker, id.first, id.second, piece);
    }
    if (piece.stage == "running" && time >= piece.ends_at) {
      piece.stage = "exited";
      piece.cause = "done";
      done[job_of(id.first)].insert(id.first);
      worker.changed = true;
    }
  }
  if (worker.cut || worker.in_flight) return;
  const bool due =
      time >= worker.next_report || (worker.changed && time >= worker.last_report + kMinReportGap);
  if (due) send_report(worker);
}

void World::begin_piece(Worker& worker, const std::string& piece, std::uint64_t attempt,
                        Piece& entry) {
  const auto places = places_of(piece);
  ++starts;
  begun.insert(job_of(piece));
  if (!places.empty()) {
    std::string line = piece + " starts on " + worker.host + " (try " + std::to_string(attempt) +
                       ") while it is on";
    for (const auto& place : places) line += " " + place;
    ran_twice.push_back(line);
    record("RAN TWICE: %s", line.c_str());
  }
  entry.stage = "running";
  // The result of a completed task is kept.
  const bool completed = done[job_of(piece)].count(piece) != 0;
  entry.ends_at = completed ? now() : now() + run_time(piece);
  worker.changed = true;
  record("worker %s: %s try %llu begins to run", worker.host.c_str(), piece.c_str(),
         static_cast<unsigned long long>(attempt));
}

void World::expire_session(Worker& worker) {
  record("worker %s: its lease has expired; it kills %zu tasks", worker.host.c_str(),
         worker.pieces.size());
  worker.pieces.clear();
  ++worker.tenure;
  worker.tick = 0;
  worker.renewed_at = now();
  worker.changed = true;
}

std::string World::report_of(Worker& worker) {
  Json pieces = Json::array();
  for (const auto& [id, piece] : worker.pieces) {
    Json entry{{"piece", id.first}, {"try", id.second}, {"stage", piece.stage}};
    if (piece.stage == "exited") entry["cause"] = piece.cause;
    pieces.push_back(std::move(entry));
  }
  ++worker.tick;
  return Json{{"host", worker.host},     {"endpoint", worker.endpoint},
              {"flavor", worker.flavor}, {"yard", worker.yard},
              {"loaner", worker.loaner}, {"tenure", worker.tenure},
              {"tick", worker.tick},     {"baton", worker.baton},
              {"warningS", nullptr},     {"pieces", std::move(pieces)}}
      .dump();
}

void World::send_report(Worker& worker) {
  const double sent_at = now();
  worker.changed = false;
  worker.last_report = sent_at;
  worker.next_report = sent_at + config.report_s * random(0.75, 1.25);
  worker.in_flight = true;
  const auto body = report_of(worker);
  worker.largest_report = std::max(worker.largest_report, body.size());
  client_->send(nodes_[static_cast<std::size_t>(worker.node)].api, {"POST", "/v1/report", body},
                std::chrono::milliseconds(static_cast<int>(kReportTimeout * 1000)),
                [this, &worker, sent_at, tenure = worker.tenure](HttpResponse response) {
                  worker.in_flight = false;
                  on_report_answer(worker, sent_at, tenure, response);
                });
}

void World::on_report_answer(Worker& worker, double sent_at, std::uint64_t tenure,
                             const HttpResponse& response) {
  if (worker.gone) return;
  const auto body = Json::parse(response.body, nullptr, false);
  const bool has_orders = body.is_object() && body.contains("orders");
  record("worker %s: report to ghat-%d, tenure %llu tick %llu, %zu tasks: %d, %zu orders%s",
         worker.host.c_str(), worker.node, static_cast<unsigned long long>(worker.tenure),
         static_cast<unsigned long long>(worker.tick), worker.pieces.size(), response.status,
         has_orders ? body["orders"].size() : 0, worker.cut ? "; the answer is lost" : "");
  const bool lost = worker.cut;  // the answer does not arrive
  if (response.status == 200 && !lost && body.is_object()) {
    const auto baton = body.value("baton", std::uint64_t{0});
    if (baton < worker.baton || baton == 0 || tenure != worker.tenure) return;
    if (now() - worker.renewed_at > config.lease_s) {
      expire_session(worker);
      return;
    }
    if (baton > token_) {
      token_ = baton;
      leader_ = worker.node;
      record("ghat-%d answers reports with token %llu", leader_,
             static_cast<unsigned long long>(baton));
    }
    if (baton > worker.baton) worker.changed = true;
    worker.baton = baton;
    worker.renewed_at = std::max(worker.renewed_at, sent_at);
    if (body.contains("orders")) execute(worker, body["orders"], sent_at);
    return;
  }
  if (response.status == 421 && !lost && body.is_object() && body.contains("foreman") &&
      body["foreman"].is_string()) {
    const std::string foreman = body["foreman"];
    for (int i = 0; i < config.nodes; ++i) {
      if (foreman != "ghat-" + std::to_string(i) || i == worker.node) continue;
      worker.node = i;
      worker.next_report = now() + random(0, 0.5);
      worker.last_report = worker.next_report - kMinReportGap;
      return;
    }
  }
  if (response.status == 413) {
    record("worker %s: the report is answered 413", worker.host.c_str());
  }
  worker.node = (worker.node + 1) % config.nodes;
  worker.next_report = now() + kNextNodeDelay;
  worker.last_report = worker.next_report - kMinReportGap;
}

bool World::has_room(const Worker& worker, const std::string& job) const {
  const Json* flavor = nullptr;
  for (const auto& type : config.types) {
    if (type["name"] == worker.flavor) flavor = &type;
  }
  double cores = 0, ram = 0;
  const auto add = [&](const std::string& id) {
    const auto& description = jobs_.at(id);
    cores += description.at("cores").get<double>();
    ram += description.at("ramGb").get<double>();
  };
  for (const auto& [id, piece] : worker.pieces) {
    if (piece.stage != "exited") add(job_of(id.first));
  }
  add(job);
  return cores <= flavor->at("cores").get<double>() + 1e-6 &&
         ram <= flavor->at("ramGb").get<double>() + 1e-6;
}

void World::execute(Worker& worker, const Json& orders, double sent_at) {
  for (const auto& order : orders) {
    const std::string verb = order.at("verb");
    const std::pair<std::string, std::uint64_t> id{order.at("piece"), order.at("try")};
    const auto known = worker.pieces.find(id);
    if (verb == "run") {
      if (known != worker.pieces.end()) continue;
      Piece piece{"pulling", "", now() + config.image_s, 0};
      const bool in_use =
          std::any_of(worker.pieces.begin(), worker.pieces.end(), [&](const auto& entry) {
            return entry.first.first == id.first && entry.second.stage != "exited";
          });
      if (jobs_.count(job_of(id.first)) == 0) {
        piece = {"exited", "no_such"};
      } else if (in_use) {
        piece = {"exited", "in_use"};
      } else if (!has_room(worker, job_of(id.first))) {
        piece = {"exited", "no_room"};
      }
      worker.pieces[id] = piece;
      worker.changed = true;
      if (on_run && piece.stage == "pulling") on_run(worker, id.first, sent_at);
    } else if (verb == "kill") {
      if (known == worker.pieces.end() || known->second.stage == "exited") continue;
      known->second.stage = "exited";
      known->second.cause = "halted";
      worker.changed = true;
      record("worker %s: %s try %llu is killed by command", worker.host.c_str(), id.first.c_str(),
             static_cast<unsigned long long>(id.second));
    } else if (verb == "clear") {
      if (known != worker.pieces.end() && known->second.stage == "exited") {
        worker.pieces.erase(known);
      }
    }
  }
}

HttpResponse World::handle_orders(Worker& worker, const HttpRequest& request) {
  if (request.target == "/status") return {200, report_of(worker)};
  const auto body = Json::parse(request.body, nullptr, false);
  if (!body.is_object() || !body.contains("baton") || !body.contains("tenure")) return {400, "{}"};
  const auto baton = body["baton"].get<std::uint64_t>();
  if (baton < worker.baton || body["tenure"].get<std::uint64_t>() != worker.tenure) {
    return {409, report_of(worker)};
  }
  worker.baton = baton;
  if (body.contains("orders")) execute(worker, body["orders"], -1);
  return {200, report_of(worker)};
}

// ---- Cloud ----

HttpResponse World::handle_cloud(const HttpRequest& request) {
  const auto path = request.target.substr(0, request.target.find('?'));
  if (request.method == "GET" && path == "/machine_types") {
    return {200, Json{{"flavors", config.types}}.dump()};
  }
  if (request.method == "GET" && path == "/machines") return list_machines(request.target);
  const auto body = Json::parse(request.body, nullptr, false);
  if (!body.is_object()) return {400, "{}"};
  if (request.method == "POST" && path == "/machines") return rent(body);
  if (request.method == "POST" && path == "/machines/return") {
    for (const std::string host : body.at("hosts")) {
      record("cloud: machine %s is returned", host.c_str());
      const auto worker = workers.find(host);
      if (worker == workers.end()) continue;
      worker->second->gone = true;
      worker->second->pieces.clear();
    }
    return {200, "{}"};
  }
  return {400, "{}"};
}

HttpResponse World::rent(const Json& body) {
  const std::string ask = body.at("ask");
  auto known = rented_.find(ask);
  if (known == rented_.end()) {
    // There is no more capacity than the machines of the test.
    record("cloud: rental %s of %s: no capacity", ask.c_str(), body.dump().c_str());
    return {503, R"({"error":"no capacity"})"};
  }
  return {200, Json{{"hosts", known->second}}.dump()};
}

HttpResponse World::list_machines(const std::string& target) {
  const auto query = query_of(target);
  const auto since = query.find("since");
  const auto limit = std::min<std::uint64_t>(number_or(query, "limit", 500), 500);
  Json hosts = Json::array();
  bool more = false;
  for (const auto& [host, worker] : workers) {
    if (since != query.end() && host <= since->second) continue;
    if (worker->gone) continue;
    if (hosts.size() >= limit) {
      more = true;
      break;
    }
    hosts.push_back({{"ref", host},
                     {"endpoint", worker->endpoint},
                     {"flavor", worker->flavor},
                     {"yard", worker->yard},
                     {"loaner", worker->loaner},
                     {"stage", now() < worker->up_at ? "booting" : "running"},
                     {"ageS", now() + 1}});
  }
  return {200, Json{{"hosts", hosts}, {"hasNext", more}}.dump()};
}

}  // namespace review
