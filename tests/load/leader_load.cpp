// Simulates a large fleet, to count the instructions that the nodes execute. profile.sh runs it
// under callgrind. The counts are reproducible, because the whole run follows from one seed.
//
// Usage: asterstair_leader_load [machines per pool] [seconds] [takeover]
// With `takeover` the leader crashes after these seconds, and the run continues for another 20 s,
// in which another node takes over.

#include <cstdio>
#include <cstdlib>
#include <iostream>
#include <stdexcept>
#include <string_view>

#include "base/log.hpp"
#include "sim/scenario.hpp"

namespace {

using namespace sim;

constexpr double kTakeoverTimeS = 20;

// profile.sh refers to this function by name and counts only the instructions within it.
[[gnu::noinline]] void lose_leader(Scenario& scenario, double now) {
  const int leader = scenario.leader();
  if (leader < 0) throw std::runtime_error("no node leads before the crash");
  scenario.crash(leader, kTakeoverTimeS);
  scenario.run_until(now + kTakeoverTimeS);
  if (scenario.leader() < 0) throw std::runtime_error("no node leads 20 s after the crash");
}

int run(int argc, char** argv) {
  spdlog::set_level(spdlog::level::off);
  const auto per_pool = argc > 1 ? std::strtoul(argv[1], nullptr, 10) : 25UL;
  const double length = argc > 2 ? std::strtod(argv[2], nullptr) : 60;
  Scenario scenario(7, per_pool);
  auto& simulator = scenario.simulator;
  // Large arrays, gangs and accelerator arrays. Together they need slightly more than the capacity.
  const double machines = static_cast<double>(per_pool) * 12;
  const double interval = 60.0 / machines * 7;
  for (double t = 1; t < length; t += simulator.uniform(0.5, 1.5) * interval) {
    simulator.schedule(Seconds(t), [&scenario, &simulator] {
      Submission job;
      job.requirements.team = "blue";
      job.requirements.spot = simulator.chance(0.8);
      const double kind = simulator.uniform(0, 1);
      job.workload.gang = kind > 0.9;
      job.workload.tasks = static_cast<std::uint32_t>(simulator.uniform(2, kind > 0.9 ? 8 : 200));
      job.workload.cpus = kind > 0.9 ? 12 : 1;
      job.workload.gpus = kind > 0.8 && kind <= 0.9 ? 1 : 0;
      job.workload.memory_gb = 1;
      job.workload.run_s = simulator.uniform(15, 40);
      job.workload.checkpoint_s = kind > 0.8 ? 10 : 0;
      job.workload.save_s = 2;
      job.workload.image = "img-" + std::to_string(static_cast<int>(simulator.uniform(0, 8)));
      job.workload.image_gb = simulator.uniform(0.5, 2);
      scenario.users.submit(job);
    });
  }
  scenario.run_until(length);
  if (argc > 3 && std::string_view(argv[3]) == "takeover") lose_leader(scenario, length);
  std::cout << scenario.cloud.running_workers().size() << " machines, " << scenario.checker.starts
            << " tasks started, " << scenario.checker.completed_tasks << " done, "
            << scenario.heartbeats << " heartbeats\n"
            << scenario.checker.report();
  return scenario.checker.violations.empty() ? 0 : 1;
}

}  // namespace

int main(int argc, char** argv) {
  try {
    return run(argc, argv);
  } catch (const std::exception& e) {
    std::fprintf(stderr, "%s\n", e.what());
  } catch (...) {
    std::fputs("terminated by an unknown exception\n", stderr);
  }
  return 1;
}
