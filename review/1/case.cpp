// Case 1: after two crashes of the leader a task starts on a second machine while it runs on the
// first. See claim.txt. Arguments: folder for settings and logs, path of record.txt.

#include <algorithm>
#include <cstdio>

#include "world.hpp"

namespace {

using namespace review;

constexpr int kHeld = 0, kBroken = 1, kCannotRun = 2;

Config make_config(const char* directory, const char* record_path) {
  Config config;
  config.directory = directory;
  config.record = record_path;
  config.value_kb = setting("VALUE_KB", 2);
  config.report_s = setting("REPORT_S", 3);
  config.lease_s = 20;
  config.types = Json::array({{{"name", "trapiche"},
                               {"cores", 64.0},
                               {"accelerators", 0.0},
                               {"ramGb", 256.0},
                               {"localGb", 200.0},
                               {"pullGbPerS", 1.0},
                               {"price", 4.24},
                               {"marketPrice", 1.16},
                               {"readyS", 60.0},
                               {"yards", config.zones}}});
  config.teams = Json::array({{{"name", "equipo-tienda"}}});
  return config;
}

std::set<std::string> registered_machines(const World& world) {
  std::set<std::string> names;
  for (const auto& [key, item] : world.state.items()) {
    if (!key.starts_with("roster/")) continue;
    for (const std::string name : item.value.at("machines")) names.insert(name);
  }
  return names;
}

std::size_t registry_records(const World& world) {
  const auto& items = world.state.items();
  return static_cast<std::size_t>(std::count_if(items.begin(), items.end(), [](const auto& item) {
    return item.first.starts_with("roster/");
  }));
}

void crash_leader(World& world) {
  const int leader = world.leader();
  world.kill_node(leader);
  world.run_for(setting("RESTART_S", 0.5));
  world.start_node(leader);
}

int run(World& world) {
  const int machines = static_cast<int>(setting("MACHINES", 540));
  const int tasks = machines - 15;
  const bool trouble = setting("TROUBLE", 1) != 0;
  const auto& zones = world.config.zones;
  for (int i = 0; i < machines; ++i) {
    world.add_machine("trapiche", zones[static_cast<std::size_t>(i) % zones.size()], 0);
  }
  // One machine more comes up late, as new machines do.
  Worker& late = world.add_machine("trapiche", zones[0], 1e6);
  for (int i = 0; i < world.config.nodes; ++i) world.start_node(i);

  const auto all_registered = [&] {
    return registered_machines(world).size() >= static_cast<std::size_t>(machines);
  };
  if (!world.wait_for(all_registered, 30)) return kCannotRun;
  record("%zu machines are in %zu registry records", registered_machines(world).size(),
         registry_records(world));
  const std::string job = "req-000001";
  world.run_time = [](const std::string&) { return 600.0; };
  const Json submission{
      {"ref", job},         {"lane", "bundle-rebuild"}, {"owner", "equipo-tienda"},
      {"shape", "batch"},   {"rank", "high"},           {"pieces", tasks},
      {"cores", 60.0},      {"accelerators", 0.0},      {"ramGb", 200.0},
      {"bundle", "img-07"}, {"imageGb", 1.5},           {"flavors", nullptr},
      {"yard", nullptr},    {"together", false},        {"scatter", false},
      {"loaner", false},    {"expectS", 600.0},         {"bookmarkS", 0.0},
      {"stashS", 0.0},      {"dueS", nullptr}};
  if (!world.submit(submission, 0)) return kCannotRun;
  const auto all_run = [&] { return world.starts >= static_cast<std::size_t>(tasks); };
  if (!world.wait_for(all_run, 25)) return kCannotRun;
  record("%zu tasks run", world.starts);

  if (trouble) crash_leader(world);
  world.run_for(8);
  late.up_at = late.renewed_at = late.next_report = now();
  record("machine %s is up", late.host.c_str());
  const auto late_registered = [&] { return registered_machines(world).count(late.host) != 0; };
  if (!world.wait_for(late_registered, 15)) return kCannotRun;
  world.run_for(2);

  // One machine loses the network while the leader crashes again: if there is one, a machine with
  // a task that the registry has forgotten.
  const auto registered = registered_machines(world);
  std::size_t forgotten = 0;
  Worker* victim = nullptr;
  for (const auto& [host, worker] : world.workers) {
    if (worker->pieces.empty()) continue;
    const bool missing = registered.count(host) == 0;
    forgotten += missing ? 1 : 0;
    if (victim == nullptr || (missing && registered.count(victim->host) != 0))
      victim = worker.get();
  }
  record("%zu machines with tasks are not in the registry", forgotten);
  if (victim == nullptr) return kCannotRun;
  if (trouble) {
    victim->cut = true;
    record("machine %s with %s loses the network", victim->host.c_str(),
           victim->pieces.begin()->first.first.c_str());
    crash_leader(world);
  }
  world.wait_for([&] { return !world.ran_twice.empty(); }, 30);
  if (world.ended_node() >= 0) return kCannotRun;
  std::printf("%zu machines with tasks forgotten, %zu tasks ran twice\n", forgotten,
              world.ran_twice.size());
  for (const auto& line : world.ran_twice) std::printf("ran_twice: %s\n", line.c_str());
  return world.ran_twice.empty() ? kHeld : kBroken;
}

}  // namespace

int main(int argc, char** argv) {
  if (argc != 3) return kCannotRun;
  World world(make_config(argv[1], argv[2]));
  const int result = run(world);
  record("result %d (0: held, 1: broken, 2: could not run)", result);
  return result;
}
