// Jobs of tiny tasks come four times as often. All their tasks fit one machine, but its report then
// exceeds 64 KiB. See review/7/claim.txt.

#include "stage.hpp"

namespace {

using namespace stage;

constexpr int kPieces = 300, kBurst = 4;
constexpr double kRunS = 25, kBoundS = 90;

Outcome play(World& world, bool trouble) {
  world.cloud.types = {{"bhari", 64, 0, 256, 40, 0.4, 3.63, 1.18, 50, {"north"}}};
  world.cloud.capacity = {{"bhari north spot", 0}, {"bhari north ordinary", 1}};
  world.cloud.add_running("bhari", "north", false);
  world.start_nodes(
      "[[cluster.teams]]\nname = \"sahayak\"\ncpus = 0.0\ncpus_max = 0.0\ngpus = 0.0\ngpus_max = "
      "0.0\n",
      "");
  if (!wait_until_ready(world, 15)) return kCouldNotRun;
  std::vector<std::string> refs;
  for (int number = 1; number <= (trouble ? kBurst : 1); ++number) {
    refs.push_back("req-00000" + std::to_string(number));
    const auto job = make_job(refs.back(), "thumbnails", "batch", kPieces, 0.05, 0, 0.2, kRunS);
    job->body["imageGb"] = 0.4;
    world.submit(job, [&world, ref = refs.back()] { world.poll(ref, 5); });
  }
  if (trouble) world.record.line("TROUBLE: four jobs of the class have come instead of one");
  const bool done = run_until(world, world.loop.now() + kBoundS, [&] {
    return std::all_of(refs.begin(), refs.end(),
                       [&](const std::string& ref) { return world.stage[ref] == "done"; });
  });
  return done ? kHeld : kBroken;
}

}  // namespace

int main(int argc, char** argv) { return run_case(argc, argv, Timing{}, play); }
