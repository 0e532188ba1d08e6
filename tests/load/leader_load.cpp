// A large fleet in simulated time, to count what the nodes spend. Run it under callgrind as
// profile.sh does: the counts repeat, since everything comes from one seed.
//
// Usage: asterstair_leader_load [machines per pool] [seconds] [takeover]
// With `takeover` the leader ends then, and the run goes on until the next one has settled.

#include <cstdio>
#include <cstdlib>
#include <iostream>
#include <stdexcept>
#include <string_view>

#include "base/log.hpp"
#include "sim/scenario.hpp"

namespace {

using namespace sim;

constexpr double kTakeOverTime = 20;

// Named in profile.sh, which counts only what is spent within it.
[[gnu::noinline]] void lose_leader(Scenario& s, double now) {
  const int leader = s.leader();
  if (leader < 0) throw std::runtime_error("nobody leads");
  s.crash(leader, kTakeOverTime);
  s.world.run_until(now + kTakeOverTime);
  if (s.leader() < 0) throw std::runtime_error("nobody has taken over");
}

int run(int argc, char** argv) {
  spdlog::set_level(spdlog::level::off);
  const auto per_pool = argc > 1 ? std::strtoul(argv[1], nullptr, 10) : 25UL;
  const double length = argc > 2 ? std::strtod(argv[2], nullptr) : 60;
  Scenario s(7, per_pool);
  auto& w = s.world;
  // Arrays like the sweeps, gangs and accelerator arrays, a little more than there is room for.
  const double machines = static_cast<double>(per_pool) * 12;
  const double every = 60.0 / machines * 7;
  for (double t = 1; t < length; t += w.uniform(0.5, 1.5) * every) {
    w.at(to_duration(Seconds(t)), [&s, &w] {
      Scenario::Ask a;
      a.truth.team = "blue";
      a.truth.spot = w.chance(0.8);
      const double kind = w.uniform(0, 1);
      a.spec.gang = kind > 0.9;
      a.spec.tasks = static_cast<std::uint32_t>(w.uniform(2, kind > 0.9 ? 8 : 200));
      a.spec.cpus = kind > 0.9 ? 12 : 1;
      a.spec.gpus = kind > 0.8 && kind <= 0.9 ? 1 : 0;
      a.spec.memory_gb = 1;
      a.spec.run_s = w.uniform(15, 40);
      a.spec.checkpoint_s = kind > 0.8 ? 10 : 0;
      a.spec.save_s = 2;
      a.spec.image = "img-" + std::to_string(static_cast<int>(w.uniform(0, 8)));
      a.spec.image_gb = w.uniform(0.5, 2);
      s.submit(a);
    });
  }
  w.run_until(length);
  if (argc > 3 && std::string_view(argv[3]) == "takeover") lose_leader(s, length);
  std::cout << s.cloud.running().size() << " machines, " << s.checker.starts << " tasks started, "
            << s.checker.done_tasks << " done, " << s.reports << " reports\n"
            << s.checker.text();
  return s.checker.broken.empty() ? 0 : 1;
}

}  // namespace

int main(int argc, char** argv) {
  try {
    return run(argc, argv);
  } catch (const std::exception& e) {
    std::fprintf(stderr, "%s\n", e.what());
  } catch (...) {
    std::fputs("ended by an unknown exception\n", stderr);
  }
  return 1;
}
