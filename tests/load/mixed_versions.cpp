// Tests a rolling upgrade and a rollback between two builds of the program. The deployment has
// three controller processes on loopback, in real time, with the simulated services of tests/sim.
// Each node in turn is killed and restarted as the other build while jobs run, first from OLD to
// NEW, then back.
//
// Usage: asterstair_mixed_versions OLD_BINARY NEW_BINARY [--base-port N] [--features FILE]
//
// For example, with a build of the last release in build-old:
//   build/asterstair_mixed_versions build-old/asterstair build/asterstair
//
// It prints a line per scenario, and exits with 0 if all passed. It takes some minutes and uses
// 1000 ports starting at N (default 24000), 500 for each of two deployments. It is not part of
// ctest, because it needs two builds. Both builds get the same features file (default
// deploy/features.toml), as all nodes of a deployment do.
//
// 1. Roll forward. Three OLD nodes run an array, a gang and a job that is cancelled later. A
//    follower is replaced by NEW. Then both OLD nodes, one of them the leader, are killed, so that
//    NEW takes over from OLD. One of them restarts as OLD and runs under the NEW leader, then both
//    are replaced by NEW. Tasks must be running before each kill, and jobs are submitted to both
//    builds while both run. At the end all nodes must report the same final stage of every job, and
//    the rule checker of tests/sim must have found no violation of PROTOCOL: most importantly, no
//    task ran twice at the same time.
// 2. Roll back: the same with OLD and NEW exchanged.
// 3. Gossip. In both rolls, under a leader of each build: a follower of the other build must report
//    the running tasks of a job that was submitted to another node. It can know them only from
//    gossip.
//
// Not covered: network and machine faults; a roll that stops halfway; more than one takeover
// between builds in each direction; the provisioning commands of one build on the records of the
// other. The checker's rules on starvation and unanswered queries are not checked, because they
// depend on real time. If the leader changes before the intended takeover, which can happen on a
// machine that stalls for seconds, the run fails with a message that says so. A signal that
// terminates this program terminates the nodes too, but the temporary directory remains.

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

constexpr double kStepLimitS = 180, kEndLimitS = 300, kRollLimitS = 800;
// Longer than both rolls can take by kRollLimitS. A run that exceeds it hangs and is terminated.
constexpr unsigned kTotalLimitS = 1800;
constexpr int kDefaultPort = 24000;

struct Build {
  std::string name, binary;
};

// Results of the gossip checks between the builds, one text per check.
struct GossipResult {
  static constexpr std::size_t kChecks = 4;
  std::vector<std::string> passed, failed;
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

// Rolls one deployment from one build to the other.
class Roll {
 public:
  Roll(RealDeployment& deployment, Build from, Build to, GossipResult& gossip)
      : deployment_(deployment), from_(std::move(from)), to_(std::move(to)), gossip_(gossip) {}

  // Throws std::runtime_error if a step fails.
  void run() {
    begin();
    replace_follower();
    take_over();
    run_under_new_leader();
    replace_others();
    finish();
  }

  // What the roll did; empty unless run() has returned.
  const std::string& summary() const { return summary_; }

 private:
  // Throws if the condition does not hold within the limit or within the time limit of the whole
  // roll.
  void require(const std::string& what, const std::function<bool()>& condition,
               double limit_s = kStepLimitS) {
    const double limit = std::min(limit_s, kRollLimitS - deployment_.simulator.elapsed());
    if (deployment_.wait_for(condition, limit)) return;
    throw std::runtime_error("timed out after " + std::to_string(static_cast<int>(limit)) +
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

  // Replaces one follower. The leader and the other follower keep running.
  void replace_follower() {
    start(first_, to_);
    check_gossip(first_, to_, from_, submit(array_of(4, 40), last_));
    require_running(submit(array_of(4, 60), first_));
  }

  // Kills both nodes of the first build, so that the replaced node must take over.
  void take_over() {
    if (deployment_.leader() != old_leader_) {
      throw std::runtime_error("the leader changed before the intended takeover");
    }
    if (running_tasks() == 0) throw std::runtime_error("no task is running before the takeover");
    tasks_before_takeover_ = running_tasks();
    deployment_.kill(last_);
    deployment_.kill(old_leader_);
    require(to_.name + " takes over from " + from_.name,
            [&] { return deployment_.leader() == first_; });
    tasks_after_takeover_ = running_tasks();
  }

  void run_under_new_leader() {
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

  // Checks that the follower reports running tasks of the job. Without gossip only the leader knows
  // of them. The third scenario reports a failure.
  void check_gossip(int follower, const Build& build, const Build& leader_build,
                    const std::string& id) {
    std::uint64_t running = 0;
    deployment_.wait_for(
        [&] {
          const auto answer = deployment_.ask(follower, id);
          if (answer.is_object()) running = answer.value("running", std::uint64_t{0});
          return running > 0 || ended(id);
        },
        kStepLimitS);
    const auto what = build.name + " under a leader of " + leader_build.name;
    const bool leads = deployment_.leader() == follower;
    if (running > 0 && !leads) {
      gossip_.passed.push_back(what + ": " + std::to_string(running) + " running");
    } else {
      gossip_.failed.push_back(what +
                               (leads ? ": the queried node is the leader" : ": none running"));
    }
  }

  // Whether all nodes report the expected final stage of the job.
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
          id + " has ended on all nodes", [&] { return ended(id); }, kEndLimitS);
      tasks += deployment_.jobs.workloads.at(id).tasks;
      starts += deployment_.checker.starts_of(id);
    }
    if (const auto report = deployment_.checker.report(); !report.empty()) {
      throw std::runtime_error("rules violated: " + report);
    }
    summary_ = std::to_string(jobs_.size() - 1) + " jobs done and 1 withdrawn on all nodes, " +
               std::to_string(tasks) + " tasks in " + std::to_string(starts) + " starts on " +
               std::to_string(deployment_.cloud.requests.rented) + " rented machines; " + to_.name +
               " took over from " + from_.name + " with " + std::to_string(tasks_before_takeover_) +
               " tasks running before and " + std::to_string(tasks_after_takeover_) +
               " after; no rule violated";
  }

  RealDeployment& deployment_;
  const Build from_, to_;
  GossipResult& gossip_;
  std::vector<std::string> jobs_;
  std::string cancelled_, summary_;
  // Nodes: the first leader, and the followers that are replaced first and last.
  int old_leader_ = 0, first_ = 0, last_ = 0;
  std::size_t tasks_before_takeover_ = 0, tasks_after_takeover_ = 0;
};

struct Arguments {
  Build older{"OLD", ""}, newer{"NEW", ""};
  std::string features = ASTERSTAIR_FEATURES_FILE;
  int base_port = kDefaultPort;
};

void print(bool passed, const std::string& scenario, const std::string& details) {
  std::printf("%s %s: %s\n", passed ? "pass" : "FAIL", scenario.c_str(), details.c_str());
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
    print(true, scenario, steps.summary());
    return true;
  } catch (const std::exception& e) {
    print(false, scenario, e.what());
    return false;
  }
}

bool report_gossip(const GossipResult& gossip) {
  std::string text;
  for (const auto* list : {&gossip.passed, &gossip.failed}) {
    for (const auto& line : *list) text += (text.empty() ? "" : "; ") + line;
  }
  const bool passed = gossip.failed.empty() && gossip.passed.size() == GossipResult::kChecks;
  print(passed, "gossip",
        std::to_string(gossip.passed.size()) + " of " + std::to_string(GossipResult::kChecks) +
            " followers reported running tasks: " + text);
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
  alarm(kTotalLimitS);  // terminates this process and thereby its children
  const auto& [older, newer, features, port] = arguments;
  GossipResult gossip;
  const bool forward = roll("roll forward", older, newer, arguments, port, gossip);
  const bool back =
      roll("roll back", newer, older, arguments, port + RealDeployment::kPorts, gossip);
  const bool gossip_passed = report_gossip(gossip);
  return forward && back && gossip_passed ? 0 : 1;
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
