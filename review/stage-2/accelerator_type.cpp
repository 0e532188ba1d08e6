// A gang that needs no accelerator, but fits only a type of machine that has some, loses its
// machine to the cloud. See review/5/claim.txt.

#include "stage.hpp"

namespace {

using namespace stage;

constexpr double kBoundS = 90;

Outcome play(World& world, bool trouble) {
  const std::vector<std::string> zones = {"north", "south", "east"};
  world.cloud.types = {{"chhoto", 8, 0, 64, 40, 1, 0.48, 0.15, 50, zones},
                       {"chokh", 32, 4, 128, 150, 1, 11.09, 3.6, 40, zones}};
  world.cloud.add_running("chokh", "north", true);
  world.start_nodes(
      "[[cluster.teams]]\nname = \"sahayak\"\ncpus = 160.0\ncpus_max = 900.0\ngpus = "
      "16.0\ngpus_max = 24.0\n",
      "[[cluster.objectives]]\nkind = \"finished\"\nclass = \"ocr-gang\"\nwithin_s = 400.0\nshare "
      "= 0.92\n");
  if (!wait_until_ready(world, 15)) return kCouldNotRun;
  const auto job = make_job("req-000001", "ocr-gang", "ensemble", 1, 30, 0, 100, 15);
  job->body["bookmarkS"] = 30.0;
  job->body["stashS"] = 3.0;
  bool running = false;
  std::string machine;
  world.on_running = [&](const std::string&, int, const std::string& on) {
    running = true;
    machine = on;
  };
  world.submit(job, [&] { world.poll("req-000001", 5); });
  if (!run_until(world, 30, [&] { return running; })) return kCouldNotRun;
  const auto is_done = [&] { return world.stage["req-000001"] == "done"; };
  if (!trouble) {
    return run_until(world, world.loop.now() + 60, is_done) ? kHeld : kBroken;
  }
  run_until(world, world.loop.now() + 1, [] { return false; });
  running = false;
  const auto asked_before = world.cloud.rental_requests("chokh");
  world.cloud.take(machine);
  const bool ran = run_until(world, world.loop.now() + kBoundS, [&] { return running; });
  const auto asked = world.cloud.rental_requests("chokh") - asked_before;
  world.record.line("since the machine was taken, the cloud was asked for a chokh " +
                    std::to_string(asked) + " times");
  return ran ? kHeld : kBroken;
}

}  // namespace

int main(int argc, char** argv) { return run_case(argc, argv, Timing{}, play); }
