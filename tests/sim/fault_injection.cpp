#include "sim/fault_injection.hpp"

#include <array>
#include <functional>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace sim {

namespace {

/// Schedules the action repeatedly until `length`, on average every `interval` seconds.
void repeat(Scenario& scenario, double length, double interval,
            const std::function<void()>& action) {
  auto& simulator = scenario.simulator;
  for (double t = simulator.uniform(0.3, 1) * interval; t < length;
       t += simulator.uniform(0.5, 1.5) * interval) {
    simulator.schedule(Seconds(t), action);
  }
}

/// The leader, if there is one, with the given probability; otherwise a random node.
int leader_or_random_node(Scenario& scenario, double leader_probability) {
  const int leader = scenario.leader();
  return leader >= 0 && scenario.simulator.chance(leader_probability) ? leader
                                                                      : scenario.random_node();
}

// Submissions.

void submit_random_job(Scenario& scenario) {
  auto& simulator = scenario.simulator;
  const auto id = scenario.users.submit(random_job(simulator));
  if (simulator.chance(0.15)) {
    simulator.schedule(Seconds(simulator.uniform(0.5, 40)),
                       [&scenario, id] { scenario.users.cancel(id); });
  }
  if (simulator.chance(0.1)) scenario.users.query("req-999999");
}

void submit_random_jobs(Scenario& scenario, double length, double interval) {
  auto& simulator = scenario.simulator;
  for (double t = 1; t < length; t += simulator.uniform(0.5, 1.5) * interval) {
    simulator.schedule(Seconds(t), [&scenario] { submit_random_job(scenario); });
  }
}

// Nodes.

void crash_nodes(Scenario& scenario, double length) {
  repeat(scenario, length, 25, [&scenario] {
    auto& simulator = scenario.simulator;
    const int node = leader_or_random_node(scenario, 0.7);
    scenario.crash(node, simulator.chance(0.3) ? 0.2 : 4);
    if (simulator.chance(0.2)) {
      for (int i = 0; i < scenario.node_count(); ++i) scenario.crash(i, simulator.uniform(0.2, 5));
    }
  });
}

void crash_nodes_rapidly(Scenario& scenario, double length) {
  repeat(scenario, length, 9, [&scenario] {
    auto& simulator = scenario.simulator;
    if (scenario.leader() >= 0) scenario.crash(scenario.leader(), simulator.uniform(0.02, 0.7));
    if (simulator.chance(0.5)) {
      scenario.crash(scenario.random_node(), simulator.uniform(0.02, 0.7));
    }
    // A second crash during the recovery from the first.
    simulator.schedule(Seconds(simulator.uniform(0.02, 1.5)), [&scenario, &simulator] {
      scenario.crash(scenario.random_node(), simulator.uniform(0.02, 0.3));
    });
  });
}

void crash_leaders(Scenario& scenario, double length) {
  repeat(scenario, length, 11, [&scenario] {
    if (scenario.leader() >= 0) {
      scenario.crash(scenario.leader(), scenario.simulator.uniform(0.1, 12));
    }
  });
}

void take_all_nodes_down(Scenario& scenario, double length) {
  repeat(scenario, length, 90, [&scenario] {
    auto& simulator = scenario.simulator;
    const double lease = scenario.timing.lease_s;
    const int first_restarted = scenario.random_node();
    for (int i = 0; i < scenario.node_count(); ++i) {
      const bool restarts_early = i == first_restarted && simulator.chance(0.4);
      scenario.crash(i, restarts_early ? 0.3 : lease + simulator.uniform(0, 10));
    }
  });
}

void isolate_controllers(Scenario& scenario, double length) {
  repeat(scenario, length, 45, [&scenario] {
    auto& simulator = scenario.simulator;
    const int node = leader_or_random_node(scenario, 0.8);
    scenario.set_control_plane_drop(node, true);
    simulator.schedule(Seconds(simulator.uniform(5, 50)),
                       [&scenario, node] { scenario.set_control_plane_drop(node, false); });
  });
}

// State service.

void make_store_unavailable_to_one_node(Scenario& scenario) {
  auto& simulator = scenario.simulator;
  const auto node = scenario.node_name(leader_or_random_node(scenario, 0.5));
  scenario.network.set_unavailable(node, "state", true);
  simulator.schedule(Seconds(simulator.uniform(3, 45)),
                     [&scenario, node] { scenario.network.set_unavailable(node, "state", false); });
}

void interrupt_store(Scenario& scenario, double length) {
  repeat(scenario, length, 60, [&scenario] {
    auto& simulator = scenario.simulator;
    if (simulator.chance(0.4)) {
      make_store_unavailable_to_one_node(scenario);
      return;
    }
    scenario.store.set_outage(true);
    simulator.schedule(Seconds(simulator.uniform(3, 30)),
                       [&scenario] { scenario.store.set_outage(false); });
  });
}

// Network.

void isolate_hosts(Scenario& scenario, double length) {
  repeat(scenario, length, 20, [&scenario] {
    auto& simulator = scenario.simulator;
    std::string host = scenario.node_name(scenario.random_node());
    if (!scenario.cloud.running_workers().empty() && simulator.chance(0.7)) {
      host = scenario.cloud.random_worker()->id;
    }
    scenario.network.isolate(host);
    simulator.schedule(Seconds(simulator.uniform(2, 40)),
                       [&scenario, host] { scenario.network.reconnect(host); });
  });
}

void drop_commands(Scenario& scenario, double length) {
  repeat(scenario, length, 12, [&scenario] {
    auto& simulator = scenario.simulator;
    const auto worker = scenario.cloud.random_worker();
    if (!worker) return;
    scenario.set_command_drop(worker->id, true);
    simulator.schedule(Seconds(simulator.uniform(3, 60)),
                       [&scenario, worker] { scenario.set_command_drop(worker->id, false); });
  });
}

void drop_heartbeats(Scenario& scenario, double length) {
  repeat(scenario, length, 12, [&scenario] {
    auto& simulator = scenario.simulator;
    const auto worker = scenario.cloud.random_worker();
    if (!worker) return;
    scenario.set_heartbeat_drop(worker->id, true);
    simulator.schedule(Seconds(simulator.uniform(3, 30)),
                       [&scenario, worker] { scenario.set_heartbeat_drop(worker->id, false); });
  });
}

void partition_zones(Scenario& scenario, double length) {
  repeat(scenario, length, 70, [&scenario] {
    constexpr std::array kZones{"north", "south", "east"};
    auto& simulator = scenario.simulator;
    const auto zone = static_cast<std::size_t>(simulator.uniform(0, 2.999));
    std::set<std::string> hosts;
    for (int i = 0; i < scenario.node_count(); ++i) {
      if (static_cast<std::size_t>(i) % kZones.size() == zone) hosts.insert(scenario.node_name(i));
    }
    for (const auto& worker : scenario.cloud.running_workers()) {
      if (worker->zone == kZones.at(zone)) hosts.insert(worker->id);
    }
    scenario.network.partition(hosts);
    simulator.schedule(Seconds(simulator.uniform(5, 40)),
                       [&scenario] { scenario.network.heal_partitions(); });
  });
}

void lose_messages(Network& network) {
  network.loss_rate = 0.01;
  network.delay_rate = 0.02;
}

void slow_responses(Scenario& scenario) {
  scenario.network.delay_response = [&scenario](const HttpRequest&) {
    return scenario.simulator.chance(0.1) ? 0.4 : 0.0;
  };
}

// Machines and the cloud.

void preempt_spot_machine(Scenario& scenario, const std::shared_ptr<Worker>& worker) {
  auto& simulator = scenario.simulator;
  const double notice = simulator.chance(0.4) ? 0 : simulator.uniform(4, 12);
  if (notice > 0) worker->give_preemption_notice(notice);
  simulator.schedule(Seconds(notice), [&scenario, worker] {
    if (!worker->terminated) scenario.cloud.reclaim(worker->id);
  });
}

void preempt_spot_machines(Scenario& scenario, double length) {
  repeat(scenario, length, 30, [&scenario] {
    for (const auto& worker : scenario.cloud.running_workers()) {
      if (worker->spot && scenario.simulator.chance(0.5)) preempt_spot_machine(scenario, worker);
    }
  });
}

void make_machines_fail(Scenario& scenario, double length) {
  repeat(scenario, length, 40, [&scenario] {
    const auto worker = scenario.cloud.random_worker();
    if (!worker) return;
    worker->failing = true;
    scenario.simulator.schedule(30s, [worker] { worker->failing = false; });
  });
}

void hang_machines(Scenario& scenario, double length) {
  repeat(scenario, length, 10, [&scenario] {
    if (const auto worker = scenario.cloud.random_worker()) {
      worker->hang(scenario.simulator.uniform(2, 25));
    }
  });
}

void interrupt_cloud(Scenario& scenario, double length) {
  scenario.cloud.boot_failure_rate = 0.15;
  repeat(scenario, length, 60, [&scenario] {
    auto& simulator = scenario.simulator;
    scenario.cloud.outage = true;
    simulator.schedule(Seconds(simulator.uniform(5, 30)),
                       [&scenario] { scenario.cloud.outage = false; });
  });
}

// Users.

/// Cancels a random selection of the running jobs, at most `max_jobs` of them.
void cancel_running_jobs(Scenario& scenario, std::size_t max_jobs) {
  auto& simulator = scenario.simulator;
  std::size_t cancelled = 0;
  for (const auto& [id, job] : scenario.users.submissions()) {
    if (cancelled >= max_jobs) break;
    if (scenario.checker.tasks_present(id) == 0 || scenario.checker.is_final(id) ||
        simulator.chance(0.4)) {
      continue;
    }
    ++cancelled;
    simulator.schedule(Seconds(simulator.uniform(0, 0.2)),
                       [&scenario, id = id] { scenario.users.cancel(id); });
  }
}

void cancel_many_jobs(Scenario& scenario, double length) {
  repeat(scenario, length, 25, [&scenario] {
    auto& simulator = scenario.simulator;
    cancel_running_jobs(scenario, 6);
    if (!simulator.chance(0.5)) return;
    for (const auto& worker : scenario.cloud.running_workers()) {
      if (simulator.chance(0.3)) worker->hang(simulator.uniform(1, 30));
    }
  });
}

void cancel_at_completion(Scenario& scenario) {
  scenario.checker.on_job_completed = [&scenario](const std::string& id) {
    auto& simulator = scenario.simulator;
    if (!simulator.chance(0.5)) return;
    simulator.schedule(Seconds(simulator.uniform(0, 0.7)), [&scenario, id] {
      scenario.users.cancel(id);
      scenario.users.resubmit(id, scenario.users.submissions().at(id).body(id));
      scenario.users.query(id);
    });
  };
}

/// Makes a submission invalid in one of seven ways, so that it must be rejected.
void make_invalid(Simulator& simulator, Json& body) {
  switch (static_cast<int>(simulator.uniform(0, 6.999))) {
    case 0: {
      constexpr std::array kRequired{"accelerators", "together", "scatter", "loaner", "stashS",
                                     "bookmarkS",    "cores",    "ramGb",   "expectS"};
      body.erase(kRequired.at(static_cast<std::size_t>(simulator.uniform(0, 8.999))));
      break;
    }
    case 1:
      body["yard"] = "atlantis";
      break;
    case 2:
      body["cores"] = 1000.0;
      break;
    case 3:
      body["flavors"] = Json::array({"abacus"});
      break;
    case 4:
      body["owner"] = "nobody";
      break;
    case 5:
      body["shape"] = "ensemble";
      body["pieces"] = 2;
      body["scatter"] = true;
      body["yard"] = "north";
      break;
    default:
      body["pieces"] = "4";
  }
}

void resubmit_modified(Scenario& scenario) {
  auto& simulator = scenario.simulator;
  for (const auto& [id, job] : scenario.users.submissions()) {
    if (!simulator.chance(0.05)) continue;
    auto body = job.body(id);
    if (simulator.chance(0.3)) body.erase("bundle");
    if (simulator.chance(0.2)) body["owner"] = "nobody";
    if (scenario.checker.is_accepted(id)) scenario.users.resubmit(id, body);
    if (scenario.checker.final_stage(id) == "done") scenario.users.cancel(id);
  }
}

void send_invalid_requests(Scenario& scenario, double length) {
  repeat(scenario, length, 3, [&scenario] {
    auto& simulator = scenario.simulator;
    resubmit_modified(scenario);
    scenario.users.submit_invalid(random_job(simulator),
                                  [&simulator](Json& body) { make_invalid(simulator, body); });
  });
}

// Compound faults.

/// The state service answers 503 to the leader only while jobs are cancelled. Then it has an outage
/// for all nodes that exceeds the cancellation deadline. In some cases the leader also crashes.
void refuse_leader_then_interrupt_store(Scenario& scenario) {
  auto& simulator = scenario.simulator;
  const int leader = scenario.leader();
  if (leader < 0) return;
  const auto name = scenario.node_name(leader);
  const double refused_s = simulator.uniform(0.5, 12);  // before the outage
  scenario.network.set_unavailable(name, "state", true);
  cancel_running_jobs(scenario, 8);
  simulator.schedule(Seconds(simulator.uniform(0.2, refused_s)),
                     [&scenario] { cancel_running_jobs(scenario, 8); });
  simulator.schedule(Seconds(refused_s), [&scenario] { scenario.store.set_outage(true); });
  simulator.schedule(Seconds(refused_s + scenario.timing.cancel_s + 10), [&scenario, name] {
    scenario.network.set_unavailable(name, "state", false);
    scenario.store.set_outage(false);
  });
  if (simulator.chance(0.3)) {
    simulator.schedule(Seconds(refused_s + 3),
                       [&scenario, leader] { scenario.crash(leader, 0.3); });
  }
}

void schedule_refusals_then_outages(Scenario& scenario) {
  for (const double at : {50.0, 170.0}) {
    scenario.simulator.schedule(Seconds(at + scenario.simulator.uniform(0, 10)),
                                [&scenario] { refuse_leader_then_interrupt_store(scenario); });
  }
}

}  // namespace

// The order of the calls must not change: each draws from the seed's sequence of random numbers.
void run_randomized(Scenario& scenario, const FaultMix& faults, double length) {
  auto& network = scenario.network;
  submit_random_jobs(scenario, length, faults.submission_burst ? 2.5 : 4.0);
  if (faults.node_crashes) crash_nodes(scenario, length);
  if (faults.store_outages) interrupt_store(scenario, length);
  if (faults.isolated_hosts) isolate_hosts(scenario, length);
  if (faults.spot_preemptions) preempt_spot_machines(scenario, length);
  if (faults.failing_machines) make_machines_fail(scenario, length);
  if (faults.cloud_outages) interrupt_cloud(scenario, length);
  if (faults.lost_commands) drop_commands(scenario, length);
  if (faults.isolated_controllers) isolate_controllers(scenario, length);
  if (faults.rapid_crashes) crash_nodes_rapidly(scenario, length);
  if (faults.late_transactions) network.late_transaction_rate = 0.2;
  if (faults.slow_responses) slow_responses(scenario);
  if (faults.machine_hangs) hang_machines(scenario, length);
  if (faults.lost_heartbeats) drop_heartbeats(scenario, length);
  if (faults.zone_partitions) partition_zones(scenario, length);
  if (faults.mass_cancellations) cancel_many_jobs(scenario, length);
  if (faults.cancellations_at_completion) cancel_at_completion(scenario);
  if (faults.invalid_requests) send_invalid_requests(scenario, length);
  if (faults.leader_crashes) crash_leaders(scenario, length);
  if (faults.all_nodes_down) take_all_nodes_down(scenario, length);
  if (faults.refusal_then_outage) schedule_refusals_then_outages(scenario);
  if (faults.duplicate_requests) network.duplication_rate = 0.04;
  if (faults.message_loss) lose_messages(network);
  scenario.run_until(length);
}

void end_all_faults(Scenario& scenario) {
  auto& network = scenario.network;
  scenario.store.set_outage(false);
  scenario.cloud.outage = false;
  scenario.cloud.boot_failure_rate = 0;
  network.loss_rate = network.delay_rate = 0;
  network.duplication_rate = network.late_transaction_rate = 0;
  network.delay_response = nullptr;
  scenario.checker.on_job_completed = nullptr;
  network.clear_drops();
  network.heal_partitions();
  for (const auto& node : scenario.node_list.names) {
    network.reconnect(node);
    network.set_unavailable(node, "state", false);
  }
  for (const auto& worker : scenario.cloud.running_workers()) {
    network.reconnect(worker->id);
    worker->failing = false;
  }
}

}  // namespace sim
