// The leader's zone is cut off for 15 s. Another controller takes over, and the tasks outside the
// zone go on. When the cut ends, the deposed leader starts them again. See the case's claim.txt.

#include "stage.hpp"

namespace {

using namespace stage;

constexpr int kMachines = 60;  // inside the leader's zone, and as many outside
constexpr double kCutS = 15, kAfterS = 12;

Outcome play(World& world, bool trouble) {
  world.cloud.types = {{"chhoto", 8, 0, 64, 40, 1, 0.48, 0.15, 50, world.zones}};
  world.start_nodes(
      "[[cluster.teams]]\nname = \"sahayak\"\ncpus = 0.0\ncpus_max = 0.0\ngpus = 0.0\ngpus_max = "
      "0.0\n",
      "");
  if (!wait_until_ready(world, 15)) return kCouldNotRun;
  const auto leads = [&] { return !world.state.leader().empty(); };
  if (!run_until(world, 20, leads)) return kCouldNotRun;
  const auto find_leader = [&] {
    const auto at = std::find(world.names.begin(), world.names.end(), world.state.leader());
    return world.zones.at(static_cast<std::size_t>(at - world.names.begin()));
  };
  const std::string inside = find_leader();
  std::vector<std::string> outside = world.zones;
  std::erase(outside, inside);
  for (int i = 0; i < kMachines; ++i) {
    world.cloud.add_running("chhoto", outside[static_cast<std::size_t>(i % 2)], false);
  }
  run_until(world, world.loop.now() + 5, [] { return false; });
  int running = 0;
  world.on_running = [&](const std::string&, int, const std::string&) { ++running; };
  const auto job = make_job("req-000001", "unicode-pass", "batch", kMachines, 6, 0, 20, 90);
  job->body["imageGb"] = 0.1;
  world.submit(job, [&] { world.poll("req-000001", 5); });
  if (!run_until(world, world.loop.now() + 20, [&] { return running == kMachines; })) {
    return kCouldNotRun;
  }
  for (int i = 0; i < kMachines; ++i) world.cloud.add_running("chhoto", inside, false);
  run_until(world, world.loop.now() + 6, [] { return false; });
  if (!leads() || find_leader() != inside) return kCouldNotRun;
  if (trouble) world.cut_zone(inside);
  run_until(world, world.loop.now() + kCutS, [] { return false; });
  if (trouble) world.end_cut();
  run_until(world, world.loop.now() + kAfterS, [] { return false; });
  return kHeld;  // rules_broken tells whether a task was on two machines
}

}  // namespace

int main(int argc, char** argv) { return run_case(argc, argv, Timing{}, play); }
