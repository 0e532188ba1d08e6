// The leader is cut from the state service and the other controllers. A user cancels a job through
// another controller; the leader goes on starting its tasks. See the case's claim.txt.

#include "stage.hpp"

namespace {

using namespace stage;

constexpr int kMachines = 12, kPieces = 2000;
constexpr double kCutS = 10;
// For what the platform's own clock and loop may take between an event and its record.
constexpr double kToleranceS = 0.05;

Outcome play(World& world, bool trouble) {
  world.cloud.types = {{"chhoto", 8, 0, 64, 40, 1, 0.48, 0.15, 50, world.zones}};
  for (int i = 0; i < kMachines; ++i) {
    world.cloud.add_running("chhoto", world.zones[static_cast<std::size_t>(i % 3)], false);
  }
  world.start_nodes(
      "[[cluster.teams]]\nname = \"sahayak\"\ncpus = 0.0\ncpus_max = 0.0\ngpus = 0.0\ngpus_max = "
      "0.0\n",
      "");
  if (!wait_until_ready(world, 15)) return kCouldNotRun;
  run_until(world, world.loop.now() + 6, [] { return false; });
  std::size_t running = 0;
  world.on_running = [&](const std::string&, int, const std::string&) { ++running; };
  const auto job = make_job("req-000001", "unicode-pass", "batch", kPieces, 1, 0, 4, 2);
  job->body["imageGb"] = 0.1;
  world.submit(job, [&] { world.poll("req-000001", 5); });
  if (!run_until(world, world.loop.now() + 20, [&] { return running > 300; })) return kCouldNotRun;
  const auto at = std::find(world.names.begin(), world.names.end(), world.state.leader());
  if (at == world.names.end()) return kCouldNotRun;
  const int leader = static_cast<int>(at - world.names.begin());
  if (trouble) world.hold_node(leader, true);
  run_until(world, world.loop.now() + 0.1, [] { return false; });
  double told = -1;
  std::size_t late_starts = 0;
  // A command in flight is allowed (PROTOCOL): an answer to a report that was sent before the user
  // was told.
  world.on_ordered = [&](const std::string& piece, const std::string& machine, double reported) {
    if (told < 0 || reported < told + kToleranceS) return;
    if (late_starts++ == 0) {
      world.record.line("STARTED AFTER THE CANCELLATION: " + piece + " on " + machine +
                        ", in the answer to a report sent " + std::to_string(reported - told) +
                        " s after the user was told");
    }
  };
  world.abort_at((leader + 1) % World::kNodes, "req-000001", [&](const std::string& stage) {
    if (stage == "withdrawn") told = world.loop.now();
  });
  if (!run_until(world, world.loop.now() + 8, [&] { return told >= 0; })) return kCouldNotRun;
  run_until(world, world.loop.now() + kCutS, [] { return false; });
  if (trouble) world.hold_node(leader, false);
  run_until(world, world.loop.now() + 5, [] { return false; });
  world.record.line(std::to_string(late_starts) + " starts in answers to reports that were sent " +
                    "after the user was told that the job is cancelled");
  return late_starts == 0 ? kHeld : kBroken;
}

}  // namespace

int main(int argc, char** argv) { return run_case(argc, argv, Timing{}, play); }
