// Two builds of the program in one deployment: three controller processes on loopback, in real
// time, among the stand-ins of tests/sim. Each node in turn is killed and started again as the
// other build while jobs run, first from OLD to NEW, then back.
//
// Usage: asterstair_mixed_versions OLD_BINARY NEW_BINARY [--base-port N] [--features FILE]
//
// For example, with a build of the last release in build-old:
//   build/asterstair_mixed_versions build-old/asterstair build/asterstair
//
// It prints a line per scenario, and exits with 0 if all passed. It takes some minutes, needs the
// ports from N on (24000 unless given; 500 for each of two deployments), and is no part of ctest
// because it needs two builds. Both builds get the same features file, deploy/features.toml unless
// given, as all nodes of a deployment do.
//
// 1. Roll forward. Three OLD nodes run an array, a gang and a job that is cancelled later. A
//    follower becomes NEW. Then both OLD nodes are killed, the leader among them, so that NEW takes
//    over from OLD. One of them comes back as OLD and runs under the NEW leader, then both become
//    NEW. Before each kill tasks are seen to run; jobs are submitted to both builds while both run.
//    In the end all nodes tell the same final stage of every job, and no rule of PROTOCOL that the
//    checker of tests/sim judges by itself was broken: above all, no task ran twice at one time.
// 2. Roll back: the same with OLD and NEW exchanged.
// 3. Gossip. In both rolls, under a leader of each build: a follower of the other build tells the
//    running tasks of a job that was submitted to another node. It knows them from gossip alone.
//
// What this does not show: faults of the network and of the machines; a roll that ends halfway;
// more than one takeover between builds in each direction; the provisioning commands of one build
// on the records of the other. The checker's rules on starving and unanswered users are left out,
// since they go by time. If leadership moves by itself before the takeover, as it may on a machine
// that stalls for seconds, the run fails and says so. A signal that ends this program ends the
// nodes too, but leaves the temporary directory.

#include <spdlog/spdlog.h>

#include <CLI/CLI.hpp>
#include <algorithm>
#include <csignal>
#include <cstdio>
#include <stdexcept>

#include "load/real_deployment.hpp"
#include "load/temporary_directory.hpp"

namespace {

using namespace load;

constexpr double kStepLimit = 180, kEndLimit = 300, kRollLimit = 800;  // s
// By then both rolls have ended by themselves, unless something here hangs.
constexpr unsigned kTotalLimit = 1800;
constexpr int kDefaultPort = 24000;

struct Build {
  std::string name, binary;
};

// What was seen of gossip between the builds.
struct GossipResult {
  static constexpr std::size_t kWanted = 4;
  std::vector<std::string> seen, missed;
};

Submission array_of(std::uint32_t tasks, double run_s) { return array_job(tasks, run_s); }

Submission gang_of(std::uint32_t tasks, double run_s) {
  auto job = array_job(tasks, run_s);
  job.workload.gang = true;
  job.workload.cpus = 12;
  job.workload.checkpoint_s = 5;
  job.workload.save_s = 1;
  return job;
}

// One deployment that changes from one build to the other.
class Roll {
 public:
  Roll(RealDeployment& deployment, Build from, Build to, GossipResult& gossip)
      : deployment_(deployment), from_(std::move(from)), to_(std::move(to)), gossip_(gossip) {}

  // Throws std::runtime_error if something is not as it must be.
  void run() {
    begin();
    replace_follower();
    take_over();
    run_beside_old_peer();
    replace_others();
    finish();
  }

  const std::string& seen() const { return seen_; }

 private:
  // Throws if the condition does not hold within the limit, or the whole roll takes too long.
  void require(const std::string& what, const std::function<bool()>& condition,
               double limit_s = kStepLimit) {
    const double limit = std::min(limit_s, kRollLimit - deployment_.simulator.elapsed());
    if (deployment_.wait_for(condition, limit)) return;
    throw std::runtime_error("not within " + std::to_string(static_cast<int>(limit)) +
                             " s: " + what);
  }

  void require_running(const std::string& id) {
    require("tasks of " + id + " run", [&] { return deployment_.checker.tasks_present(id) > 0; });
  }

  void start(int node, const Build& build) {
    deployment_.start(node, build.binary);
    require("node " + std::to_string(node) + " is ready as " + build.name,
            [&] { return deployment_.is_ready(node); });
  }

  std::string submit(const Submission& job, int node) {
    jobs_.push_back(deployment_.submit(job, node));
    return jobs_.back();
  }

  void begin() {
    for (int node = 0; node < RealDeployment::kNodes; ++node) {
      deployment_.start(node, from_.binary);
    }
    const auto array = submit(array_of(12, 90), 0);
    const auto gang = submit(gang_of(3, 90), 1);
    cancelled_ = submit(array_of(2, 3600), 2);
    for (const auto& id : {array, gang, cancelled_}) require_running(id);
    require("a leader", [&] { return deployment_.leader() >= 0; });
    old_leader_ = deployment_.leader();
    first_ = (old_leader_ + 1) % RealDeployment::kNodes;
    last_ = (old_leader_ + 2) % RealDeployment::kNodes;
  }

  // The leader and one follower stay as they are.
  void replace_follower() {
    start(first_, to_);
    check_gossip(first_, to_, from_, submit(array_of(4, 40), last_));
    require_running(submit(array_of(4, 60), first_));
  }

  // The new node is the only one left.
  void take_over() {
    if (deployment_.leader() != old_leader_) {
      throw std::runtime_error("leadership moved by itself before the takeover");
    }
    if (running_tasks() == 0) throw std::runtime_error("no task runs before the takeover");
    at_takeover_ = running_tasks();
    deployment_.kill(last_);
    deployment_.kill(old_leader_);
    require(to_.name + " takes over from " + from_.name,
            [&] { return deployment_.leader() == first_; });
    after_takeover_ = running_tasks();
  }

  void run_beside_old_peer() {
    start(last_, from_);
    check_gossip(last_, from_, to_, submit(array_of(4, 40), first_));
    require_running(submit(array_of(4, 40), last_));
    deployment_.cancel(cancelled_, last_);
    require(cancelled_ + " is cancelled",
            [&] { return deployment_.checker.cancellation_confirmed(cancelled_); });
  }

  void replace_others() {
    start(old_leader_, to_);
    require_running(submit(array_of(4, 20), old_leader_));
    start(last_, to_);
    require_running(submit(gang_of(2, 20), last_));
  }

  std::size_t running_tasks() const {
    std::size_t tasks = 0;
    for (const auto& id : jobs_) tasks += deployment_.checker.tasks_present(id);
    return tasks;
  }

  // Only the leader knows of running tasks by itself. A failure is told by the third scenario.
  void check_gossip(int follower, const Build& build, const Build& leader_build,
                    const std::string& id) {
    std::uint64_t running = 0;
    deployment_.wait_for(
        [&] {
          const auto answer = deployment_.ask(follower, id);
          if (answer.is_object()) running = answer.value("running", std::uint64_t{0});
          return running > 0 || ended(id);
        },
        kStepLimit);
    const auto what = build.name + " under a leader of " + leader_build.name;
    const bool leads = deployment_.leader() == follower;
    if (running > 0 && !leads) {
      gossip_.seen.push_back(what + ": " + std::to_string(running) + " running");
    } else {
      gossip_.missed.push_back(what + (leads ? ": the node that was asked leads" : ": none"));
    }
  }

  // Whether all nodes tell the final stage that the job must have.
  bool ended(const std::string& id) {
    const std::string stage = id == cancelled_ ? "withdrawn" : "done";
    for (int node = 0; node < RealDeployment::kNodes; ++node) {
      const auto answer = deployment_.ask(node, id);
      if (!answer.is_object() || answer["stage"] != stage) return false;
    }
    return true;
  }

  void finish() {
    std::uint64_t tasks = 0, starts = 0;
    for (const auto& id : jobs_) {
      require(
          id + " has ended, as all nodes tell it", [&] { return ended(id); }, kEndLimit);
      tasks += deployment_.jobs.workloads.at(id).tasks;
      starts += deployment_.checker.starts_of(id);
    }
    if (const auto report = deployment_.checker.report(); !report.empty()) {
      throw std::runtime_error("broken rules: " + report);
    }
    seen_ = std::to_string(jobs_.size() - 1) + " jobs done and 1 withdrawn on all nodes, " +
            std::to_string(tasks) + " tasks in " + std::to_string(starts) + " starts on " +
            std::to_string(deployment_.cloud.requests.rented) + " rented machines; " + to_.name +
            " took over from " + from_.name + " with " + std::to_string(at_takeover_) +
            " tasks running before and " + std::to_string(after_takeover_) +
            " after; no rule broken";
  }

  RealDeployment& deployment_;
  const Build from_, to_;
  GossipResult& gossip_;
  std::vector<std::string> jobs_;
  std::string cancelled_, seen_;
  int old_leader_ = 0, first_ = 0, last_ = 0;  // nodes; of the others the one replaced first, last
  std::size_t at_takeover_ = 0, after_takeover_ = 0;
};

struct Arguments {
  Build older{"OLD", ""}, newer{"NEW", ""};
  std::string features = ASTERSTAIR_FEATURES_FILE;
  int base_port = kDefaultPort;
};

void print(bool passed, const std::string& scenario, const std::string& seen) {
  std::printf("%s %s: %s\n", passed ? "pass" : "FAIL", scenario.c_str(), seen.c_str());
  std::fflush(stdout);
}

bool roll(const std::string& scenario, const Build& from, const Build& to,
          const Arguments& arguments, int first_port, GossipResult& gossip) {
  try {
    const TemporaryDirectory directory;
    RealDeployment deployment(directory.path(), arguments.features, first_port);
    Roll steps(deployment, from, to, gossip);
    try {
      steps.run();
    } catch (const std::exception&) {
      std::fputs(deployment.log_ends().c_str(), stderr);
      throw;
    }
    print(true, scenario, steps.seen());
    return true;
  } catch (const std::exception& e) {
    print(false, scenario, e.what());
    return false;
  }
}

bool report_gossip(const GossipResult& gossip) {
  std::string text;
  for (const auto* list : {&gossip.seen, &gossip.missed}) {
    for (const auto& line : *list) text += (text.empty() ? "" : "; ") + line;
  }
  const bool passed = gossip.missed.empty() && gossip.seen.size() == GossipResult::kWanted;
  print(passed, "gossip",
        std::to_string(gossip.seen.size()) + " of " + std::to_string(GossipResult::kWanted) +
            " followers told the counts: " + text);
  return passed;
}

int run(int argc, char** argv) {
  Arguments arguments;
  CLI::App parser{"Two builds of the program in one deployment."};
  parser.add_option("old", arguments.older.binary, "Binary of the older build")
      ->required()
      ->check(CLI::ExistingFile);
  parser.add_option("new", arguments.newer.binary, "Binary of the newer build")
      ->required()
      ->check(CLI::ExistingFile);
  parser.add_option("--base-port", arguments.base_port, "First port to use")
      ->check(CLI::Range(20001, 64000));
  parser.add_option("--features", arguments.features, "Features file")->check(CLI::ExistingFile);
  CLI11_PARSE(parser, argc, argv);
  spdlog::set_level(spdlog::level::off);
  std::signal(SIGPIPE, SIG_IGN);
  alarm(kTotalLimit);  // ends this process, and its children with it
  const auto& [older, newer, features, port] = arguments;
  GossipResult gossip;
  const bool forward = roll("roll forward", older, newer, arguments, port, gossip);
  const bool back =
      roll("roll back", newer, older, arguments, port + RealDeployment::kPorts, gossip);
  const bool told = report_gossip(gossip);
  return forward && back && told ? 0 : 1;
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
