#include "sim/scenario.hpp"

#include <algorithm>

namespace sim {

namespace {

constexpr auto kStoreAddress = "10.2.0.1:2379", kCloudAddress = "10.2.0.2:8443";

NodeList make_node_list(int count) {
  NodeList list;
  for (int i = 0; i < count; ++i) {
    list.addresses.push_back("10.0.0." + std::to_string(i + 1) + ":8080");
    list.names.push_back("ghat-" + std::to_string(i));
  }
  return list;
}

std::vector<MachinePool> make_pools(std::size_t machines_per_pool) {
  std::vector<MachinePool> pools;
  const MachineShape cpu{"c16", 16, 0, 64, 0.5}, gpu{"g2", 8, 2, 64, 1.0};
  for (const char* zone : {"north", "south", "east"}) {
    for (const bool spot : {false, true}) {
      pools.push_back({cpu, zone, spot, machines_per_pool});
      pools.push_back({gpu, zone, spot, machines_per_pool});
    }
  }
  return pools;
}

}  // namespace

Scenario::Scenario(std::uint64_t seed, std::size_t machines_per_pool, int node_count,
                   const Timing& timing, const Features& features, double value_kb)
    : simulator(seed),
      network(simulator),
      features(features),
      timing(timing),
      value_kb(value_kb),
      node_list(make_node_list(node_count)),
      checker(simulator, {{"red", {40, 4}}, {"blue", {0, 0}}}, timing.cancel_s),
      store(simulator, network, kStoreAddress),
      cloud(Environment{simulator, network, checker, jobs, timing, node_list}, kCloudAddress,
            make_pools(machines_per_pool)),
      users(simulator, network, checker, jobs, node_list.addresses),
      nodes(static_cast<std::size_t>(node_count)) {
  simulator.after_event = [this] { checker.check_cancelled_jobs(); };
  check_waiting_jobs_periodically();
  for (int i = 0; i < node_count; ++i) boot(i);
}

const std::string& Scenario::node_name(int node) const {
  return node_list.names[static_cast<std::size_t>(node)];
}

const std::string& Scenario::node_address(int node) const {
  return node_list.addresses[static_cast<std::size_t>(node)];
}

int Scenario::node_named(const std::string& name) const {
  const auto it = std::find(node_list.names.begin(), node_list.names.end(), name);
  return it == node_list.names.end() ? -1 : static_cast<int>(it - node_list.names.begin());
}

int Scenario::random_node() { return static_cast<int>(simulator.uniform(0, node_count() - 0.001)); }

int Scenario::leader(int except) const {
  for (int i = 0; i < node_count(); ++i) {
    const auto& node = process(i).node;
    if (i != except && node && node->leading()) return i;
  }
  return -1;
}

int Scenario::run_until_led(double end, int except) {
  constexpr double kCheckIntervalS = 0.1;
  while (leader(except) < 0 && simulator.elapsed() < end) {
    run_until(simulator.elapsed() + kCheckIntervalS);
  }
  return leader(except);
}

void Scenario::boot(int node) {
  auto& booted = process(node);
  if (booted.node) return;
  booted.runtime =
      std::make_unique<SimRuntime>(simulator, network, node_name(node),
                                   [this, node](const std::string& to, std::string message) {
                                     send_gossip(node, to, std::move(message));
                                   });
  booted.node = std::make_unique<Node>(
      *booted.runtime, parse_settings(settings_text(node, node_count(), timing, value_kb)),
      features);
  network.listen(node_address(node), node_name(node),
                 [this, node, incarnation = ++booted.incarnation](const HttpRequest& request,
                                                                  const Respond& respond) {
                   auto& listening = process(node);
                   if (request.target == "/v1/report") ++heartbeats;
                   if (!listening.node || listening.incarnation != incarnation) return;
                   listening.runtime->run_when_resumed([&listening, request, respond] {
                     listening.node->handle(request, respond);
                   });
                 });
  booted.node->start();
}

void Scenario::send_gossip(int from, const std::string& to, std::string message) {
  if (on_peer_message) on_peer_message(node_name(from), to, message);
  if (!network.reaches(node_name(from), to)) return;
  simulator.schedule(3ms, [this, to, message = std::move(message)] {
    const int peer = node_named(to);
    if (peer < 0 || !process(peer).node) return;
    auto& receiver = process(peer);
    receiver.runtime->run_when_resumed(
        [&receiver, message] { receiver.node->peer_message(message); });
  });
}

/// Checks once per second until the end of the run.
void Scenario::check_waiting_jobs_periodically() {
  simulator.schedule(1s, [this] {
    std::vector<FreeCapacity> capacity;
    for (const auto& worker : cloud.running_workers()) {
      const auto free = worker->free();
      if (worker->hung() || worker->failing) continue;
      capacity.push_back({{worker->id, free.type, worker->zone, worker->spot},
                          free.cpus,
                          free.gpus,
                          free.memory_gb});
    }
    checker.check_waiting_jobs(capacity, [this](const std::string& id) {
      const auto it = jobs.workloads.find(id);
      return it == jobs.workloads.end() ? 0.0 : it->second.memory_gb;
    });
    check_waiting_jobs_periodically();
  });
}

void Scenario::cancel_through_next_node(int node, const std::string& id) {
  users.cancel_through(node_address((node + 1) % node_count()), id);
}

void Scenario::crash(int node, double down_s) {
  auto& crashed = process(node);
  if (!crashed.node) return;
  network.close(node_address(node));
  crashed.node.reset();
  crashed.runtime.reset();
  simulator.schedule(Seconds(down_s), [this, node] { boot(node); });
}

void Scenario::freeze(int node, double seconds) {
  if (auto& runtime = process(node).runtime) runtime->freeze(seconds);
}

void Scenario::set_control_plane_drop(int node, bool on) {
  network.set_two_way_drop(node_name(node), "state", on);
  for (int i = 0; i < node_count(); ++i) {
    if (i != node) network.set_two_way_drop(node_name(node), node_name(i), on);
  }
}

void Scenario::set_gossip_drop(bool on) {
  for (int i = 0; i < node_count(); ++i) {
    for (int k = 0; k < node_count(); ++k) {
      if (i != k) network.set_one_way_drop(node_name(i), node_name(k), on);
    }
  }
}

void Scenario::set_heartbeat_drop(const std::string& machine, bool on) {
  for (const auto& node : node_list.names) network.set_one_way_drop(machine, node, on);
}

void Scenario::set_command_drop(const std::string& machine, bool on) {
  for (const auto& node : node_list.names) network.set_one_way_drop(node, machine, on);
}

}  // namespace sim
