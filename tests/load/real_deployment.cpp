#include "load/real_deployment.hpp"

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <fstream>
#include <stdexcept>
#include <utility>

#include "sim/settings_text.hpp"
#include "sim/traffic.hpp"

namespace load {

namespace {

// Offsets from a deployment's first port. The nodes' API ports come first, at offsets 0 to 2.
constexpr int kGossipPorts = 10, kStatePort = 20, kCloudPort = 21, kWorkerPorts = 30;

// Addresses that the settings and the cloud of tests/sim use. Here they are mapped to loopback.
constexpr const char* kSimulatedState = "10.2.0.1:2379";
constexpr const char* kSimulatedCloud = "10.2.0.2:8443";
constexpr std::string_view kWorkerHosts = "10.1.0.", kWorkerPort = ":9000";

// The address to which the simulated users send all requests; node_for() selects the node.
constexpr const char* kAnyNode = "any-node";

constexpr auto kClockStep = 2ms, kConditionStep = 100ms;
constexpr auto kNodeTimeout = 30s, kSimulatedServiceTimeout = 120s, kQueryTimeout = 5s;
constexpr std::size_t kMaxConnections = 500, kMachinesPerPool = 4;
constexpr int kExecFailed = 127;

// Workers must keep their tasks during a failover. The leader lease, which is derived from these
// times, is about half as long as the workers' leases.
constexpr Timing kTiming{
    .report_s = 1, .lease_s = 20, .gang_wait_s = 20, .gang_peer_s = 2, .cancel_s = 33};

std::string loopback(int port) { return "127.0.0.1:" + std::to_string(port); }

NodeList make_node_list(int first_port) {
  NodeList list;
  for (int i = 0; i < RealDeployment::kNodes; ++i) {
    list.addresses.push_back(loopback(first_port + i));
    list.names.push_back("ghat-" + std::to_string(i));
  }
  return list;
}

std::vector<MachinePool> make_pools() {
  std::vector<MachinePool> pools;
  const MachineShape shape{"c16", 16, 0, 64, 0.5};
  for (const char* zone : {"north", "south", "east"}) {
    pools.push_back({shape, zone, false, kMachinesPerPool});
  }
  return pools;
}

void replace(std::string& text, const std::string& from, const std::string& to) {
  for (auto at = text.find(from); at != std::string::npos; at = text.find(from, at + to.size())) {
    text.replace(at, from.size(), to);
  }
}

// Starts a child process. The kernel kills it when this process ends for any reason.
pid_t spawn(std::vector<std::string> arguments, const std::string& log_file) {
  std::vector<char*> pointers;
  pointers.reserve(arguments.size() + 1);
  for (auto& argument : arguments) pointers.push_back(argument.data());
  pointers.push_back(nullptr);
  const int log = open(log_file.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600);
  if (log < 0) throw std::runtime_error("cannot write " + log_file);
  const pid_t parent = getpid();
  const pid_t child = fork();
  if (child == 0) {
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    if (getppid() == parent && dup2(log, STDOUT_FILENO) >= 0 && dup2(log, STDERR_FILENO) >= 0) {
      execv(pointers[0], pointers.data());
    }
    _exit(kExecFailed);
  }
  close(log);
  if (child < 0) throw std::runtime_error("cannot start " + arguments[0]);
  return child;
}

}  // namespace

RealDeployment::RealDeployment(std::string directory, std::string features_file, int first_port)
    : timing(kTiming),
      node_list(make_node_list(first_port)),
      checker(simulator, {{"red", {40, 4}}, {"blue", {0, 0}}}, timing.cancel_s),
      store(simulator, network, kSimulatedState),
      cloud(Environment{simulator, network, checker, jobs, timing, node_list}, kSimulatedCloud,
            make_pools()),
      users(simulator, network, checker, jobs, {kAnyNode}),
      directory_(std::move(directory)),
      features_file_(std::move(features_file)),
      first_port_(first_port),
      began_(Clock::now()) {
  if (uv_loop_init(&loop_) != 0) throw std::runtime_error("cannot create the event loop");
  client_ = std::make_unique<net::HttpClient>(&loop_, kMaxConnections);
  // The timer does nothing: it wakes up the loop, so that run_for() can advance the simulation.
  uv_timer_init(&loop_, &timer_);
  uv_timer_start(
      &timer_, [](uv_timer_t*) {}, kClockStep.count(), kClockStep.count());
  simulator.after_event = [this] { checker.check_cancelled_jobs(); };
  for (int i = 0; i < kNodes; ++i) {
    const auto node = static_cast<std::size_t>(i);
    network.listen(node_list.addresses[node], node_list.names[node],
                   [this, i](const HttpRequest& request, const Respond& respond) {
                     forward_to_node(i, request, respond);
                   });
    write_settings(i);
  }
  network.listen(kAnyNode, kAnyNode, [this](const HttpRequest& request, const Respond& respond) {
    forward_to_node(node_for(request), request, respond);
  });
  serve(kSimulatedState, loopback(first_port_ + kStatePort));
  serve(kSimulatedCloud, loopback(first_port_ + kCloudPort));
  schedule_clock_tick();
}

RealDeployment::~RealDeployment() {
  for (int node = 0; node < kNodes; ++node) kill(node);
}

// ---- Processes ----

std::string RealDeployment::file_of(int node, const std::string& suffix) const {
  return directory_ + "/" + node_list.names[static_cast<std::size_t>(node)] + suffix;
}

void RealDeployment::write_settings(int node) const {
  auto text = settings_text(node, kNodes, timing);
  for (int i = 0; i < kNodes; ++i) {
    const auto host = "10.0.0." + std::to_string(i + 1);
    replace(text, host + ":8080", loopback(first_port_ + i));
    replace(text, host + ":8081", loopback(first_port_ + kGossipPorts + i));
  }
  replace(text, kSimulatedState, loopback(first_port_ + kStatePort));
  replace(text, kSimulatedCloud, loopback(first_port_ + kCloudPort));
  std::ofstream file(file_of(node, ".toml"));
  file << text;
  if (!file.flush()) throw std::runtime_error("cannot write into " + directory_);
}

void RealDeployment::start(int node, const std::string& binary) {
  kill(node);
  processes_.at(static_cast<std::size_t>(node)) =
      spawn({binary, "--features", features_file_, "--config", file_of(node, ".toml")},
            file_of(node, ".log"));
}

void RealDeployment::kill(int node) {
  auto& process = processes_.at(static_cast<std::size_t>(node));
  if (process == 0) return;
  ::kill(process, SIGKILL);
  waitpid(process, nullptr, 0);
  process = 0;
  if (leader_ == node) leader_ = -1;
}

void RealDeployment::check_processes() {
  for (int node = 0; node < kNodes; ++node) {
    auto& process = processes_.at(static_cast<std::size_t>(node));
    if (process == 0 || waitpid(process, nullptr, WNOHANG) != process) continue;
    process = 0;
    throw std::runtime_error("node " + std::to_string(node) + " exited unexpectedly");
  }
}

std::string RealDeployment::log_ends() const {
  constexpr std::size_t kLines = 5;
  std::string ends;
  for (int node = 0; node < kNodes; ++node) {
    std::ifstream log(file_of(node, ".log"));
    std::vector<std::string> lines;
    for (std::string line; std::getline(log, line);) lines.push_back(line);
    for (auto i = lines.size() - std::min(lines.size(), kLines); i < lines.size(); ++i) {
      ends += lines[i] + "\n";
    }
  }
  return ends;
}

// ---- Time ----

/// Runs all simulated actions that are due by now.
void RealDeployment::advance() {
  simulator.run_until(seconds(Clock::now() - began_));
  serve_new_workers();
}

/// Schedules an empty action every kClockStep. The simulator's clock advances only to the time of
/// the last action that it ran, so without actions it would fall behind.
void RealDeployment::schedule_clock_tick() {
  simulator.schedule(kClockStep, [this] { schedule_clock_tick(); });
}

void RealDeployment::run_for(Duration time) {
  const auto end = Clock::now() + time;
  while (Clock::now() < end) {
    uv_run(&loop_, UV_RUN_ONCE);
    advance();
  }
}

bool RealDeployment::wait_for(const std::function<bool()>& condition, double limit_s) {
  const auto end = Clock::now() + to_duration(Seconds(limit_s));
  while (!condition()) {
    if (Clock::now() >= end) return false;
    run_for(kConditionStep);
    check_processes();
  }
  return true;
}

// ---- Connection between the processes and the simulation ----

/// Replaces the workers' simulated addresses in the text, as the cloud and the workers send them,
/// by the loopback addresses at which nodes reach the workers.
std::string RealDeployment::on_loopback(std::string text) const {
  for (auto at = text.find(kWorkerHosts); at != std::string::npos; at = text.find(kWorkerHosts)) {
    const auto number = at + kWorkerHosts.size();
    const auto port = text.find(kWorkerPort, number);
    if (port == std::string::npos) break;
    const int machine = std::stoi(text.substr(number, port - number));
    if (kWorkerPorts + machine >= kPorts) throw std::runtime_error("too many machines were rented");
    text.replace(at, port + kWorkerPort.size() - at,
                 loopback(first_port_ + kWorkerPorts + machine));
  }
  return text;
}

/// Forwards requests from the real address to the simulated one. If the simulated request gets no
/// response, neither does the node.
void RealDeployment::serve(const std::string& simulated_address, const std::string& address) {
  const auto handle = [this, simulated_address](HttpRequest request, const net::Respond& respond) {
    advance();
    network.http("nodes", simulated_address, std::move(request), kSimulatedServiceTimeout,
                 [this, respond](HttpResponse response) {
                   if (response.status == 0) return;
                   response.body = on_loopback(std::move(response.body));
                   respond(std::move(response));
                 });
  };
  servers_.push_back(std::make_unique<net::HttpServer>(&loop_, net::HttpServer::Limits{}, handle));
  servers_.back()->listen(address);
}

void RealDeployment::serve_new_workers() {
  for (const auto& worker : cloud.running_workers()) {
    if (served_workers_.insert(worker->address).second) {
      serve(worker->address, on_loopback(worker->address));
    }
  }
}

void RealDeployment::forward_to_node(int node, const HttpRequest& request, const Respond& respond) {
  const HttpRequest forwarded{request.method, request.target, on_loopback(request.body)};
  client_->send(node_list.addresses[static_cast<std::size_t>(node)], forwarded, kNodeTimeout,
                [this, node, request, respond](HttpResponse response) {
                  advance();
                  note_leader(node, request, response);
                  respond(std::move(response));
                });
}

void RealDeployment::note_leader(int node, const HttpRequest& request,
                                 const HttpResponse& response) {
  if (!is_accepted_heartbeat(request, response)) return;
  const auto answer = Json::parse(response.body, nullptr, false);
  const auto token = answer.is_object() ? answer.value("baton", std::uint64_t{0}) : 0;
  if (token <= leader_token_) return;
  leader_token_ = token;
  leader_ = node;
}

// ---- Users ----

/// Submissions and cancellations of a job go to the node that was set for the job; queries go to
/// all nodes in turn.
int RealDeployment::node_for(const HttpRequest& request) {
  if (request.method == "POST") {
    for (const auto& [id, node] : node_of_job_) {
      if ((request.target + request.body).find(id) != std::string::npos) return node;
    }
  }
  next_node_ = (next_node_ + 1) % kNodes;
  return next_node_;
}

std::string RealDeployment::submit(const Submission& job, int node) {
  auto id = users.submit(job);  // the request is routed only when time advances
  node_of_job_[id] = node;
  return id;
}

void RealDeployment::cancel(const std::string& id, int node) {
  node_of_job_[id] = node;
  users.cancel(id);
}

HttpResponse RealDeployment::get(int node, const std::string& target) {
  struct Answer {
    bool received = false;
    HttpResponse response;
  };
  const auto answer = std::make_shared<Answer>();
  network.http("users", node_list.addresses[static_cast<std::size_t>(node)], {"GET", target, ""},
               kQueryTimeout, [answer](HttpResponse response) {
                 *answer = {true, std::move(response)};
               });
  while (!answer->received) run_for(kClockStep);
  return answer->response;
}

bool RealDeployment::is_ready(int node) { return get(node, "/ready").status == 200; }

Json RealDeployment::ask(int node, const std::string& id) {
  const double asked = simulator.elapsed();
  const auto response = get(node, "/v2/runs/" + id);
  const auto answer = Json::parse(response.body, nullptr, false);
  const bool has_stage = answer.is_object() && answer.contains("stage");
  checker.on_answer(id, response.status, has_stage ? answer["stage"].get<std::string>() : "", false,
                    asked);
  return response.status == 200 && has_stage ? answer : Json();
}

}  // namespace load
