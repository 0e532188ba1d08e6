// Late copies of starts. A start that has been carried out and answered before reaches its machine
// once more, after its task has ended, was acknowledged, was moved or was cancelled. The worker
// would carry it out, because it has forgotten the attempt. Two properties rule this out: starts
// travel only in responses to heartbeats, which workers never carry out late, and a heartbeat that
// arrives once more is never answered with a start or an acknowledgement.

#include <gtest/gtest.h>

#include <algorithm>
#include <set>
#include <string>

#include "sim/scenario.hpp"
#include "sim/traffic.hpp"

namespace {

using namespace sim;

constexpr const char* kCopyHost = "copies";

bool has_verb(const Json& orders, const std::string& verb) {
  return std::any_of(orders.begin(), orders.end(),
                     [&](const Json& command) { return command["verb"] == verb; });
}

// Delivers copies of messages that start or stop tasks, and checks what they cause.
class Copier {
 public:
  explicit Copier(Scenario& scenario) : scenario_(scenario) {
    scenario.network.on_request = [this](const std::string& from, const std::string& address,
                                         const HttpRequest& request) {
      if (request.target == "/orders" && from != kCopyHost) on_direct_command(address, request);
    };
    scenario.network.alter_response = [this](const std::string&, const HttpRequest& request,
                                             HttpResponse& response) {
      if (!is_accepted_heartbeat(request, response)) return;
      if (has_verb(Json::parse(response.body)["orders"], "run")) on_start(request);
    };
  }

  // Delivers each recorded heartbeat to all nodes, and each recorded direct command to its machine.
  void deliver_all() {
    for (const auto& heartbeat : started_by_) deliver_heartbeat(heartbeat);
    for (const auto& [address, command] : direct_commands_) deliver_command(address, command);
  }

  // From now on each message is also delivered again a few times up to 40 s later.
  void deliver_each_later() { delivers_each_later_ = true; }

  std::size_t starts_recorded() const { return started_by_.size(); }
  std::size_t direct_commands_recorded() const { return direct_commands_.size(); }

  std::size_t direct_starts = 0;       // direct commands that are not stops
  std::size_t commands_to_copies = 0;  // starts and acknowledgements in responses to copies

 private:
  void on_direct_command(const std::string& address, const HttpRequest& request) {
    for (const auto& command : Json::parse(request.body)["orders"]) {
      if (command["verb"] != "kill") ++direct_starts;
    }
    direct_commands_.emplace_back(address, request);
    if (!delivers_each_later_) return;
    deliver_later([this, address, request] { deliver_command(address, request); });
  }

  void on_start(const HttpRequest& heartbeat) {
    if (copies_.count(heartbeat.body) != 0) return;  // counted in deliver_heartbeat
    started_by_.push_back(heartbeat);
    if (!delivers_each_later_) return;
    deliver_later([this, heartbeat] { deliver_heartbeat(heartbeat); });
  }

  void deliver_later(const std::function<void()>& deliver) {
    for (int copy = 0; copy < 3; ++copy) {
      scenario_.simulator.schedule(Seconds(scenario_.simulator.uniform(0.3, 40)), deliver);
    }
  }

  void deliver_heartbeat(const HttpRequest& heartbeat) {
    copies_.insert(heartbeat.body);
    for (const auto& address : scenario_.node_list.addresses) {
      scenario_.network.http(kCopyHost, address, heartbeat, 4s,
                             [this](const HttpResponse& response) {
                               if (response.status != 200) return;
                               const auto orders = Json::parse(response.body)["orders"];
                               if (has_verb(orders, "run") || has_verb(orders, "clear"))
                                 ++commands_to_copies;
                             });
    }
  }

  void deliver_command(const std::string& address, const HttpRequest& command) {
    scenario_.network.http(kCopyHost, address, command, 4s, [](const HttpResponse&) {});
  }

  Scenario& scenario_;
  bool delivers_each_later_ = false;
  std::vector<HttpRequest> started_by_;  // heartbeats that were answered with a start
  std::set<std::string> copies_;         // bodies of the heartbeats that were delivered again
  std::vector<std::pair<std::string, HttpRequest>> direct_commands_;
};

// What has happened to the task before the copies arrive.
enum class Before { Ended, Cancelled, Moved };

class LateStart : public testing::TestWithParam<std::tuple<Before, bool, bool>> {};

// Guards: DirectCommandDispatcher sends stops only; MachineTable::apply refuses heartbeats that are
// not newer than the last.
TEST_P(LateStart, StartsNothing) {
  const auto [before, leader_changes, machine_restarts] = GetParam();
  Scenario scenario(171);
  Copier copier(scenario);
  const auto gang = [] {
    auto job = array_job(2, 25);
    job.workload.gang = true;
    return job;
  };
  const auto array_id = scenario.users.submit(array_job(6, 25));
  const auto gang_id = scenario.users.submit(gang());
  scenario.run_until(30);
  ASSERT_EQ(scenario.checker.tasks_present(array_id), 6U);
  ASSERT_EQ(scenario.checker.tasks_present(gang_id), 2U);
  if (before == Before::Cancelled) {
    scenario.users.cancel(array_id);
    scenario.users.cancel(gang_id);
  } else if (before == Before::Moved) {
    for (const auto& worker : scenario.cloud.running_workers()) {
      if (worker->has_live_tasks()) worker->give_preemption_notice(15);
    }
  }
  // The moved tasks run elsewhere, the others have ended and are acknowledged.
  scenario.run_until(before == Before::Ended ? 70 : 45);
  for (int round = 0; round < 3; ++round) {
    if (leader_changes && scenario.leader() >= 0) scenario.crash(scenario.leader(), 0.3);
    if (machine_restarts) {
      for (const auto& worker : scenario.cloud.running_workers()) worker->restart(0.4);
    }
    for (const double wait_s : {0.2, 0.6, 3.0, 8.0}) {
      const auto starts = scenario.checker.starts;
      copier.deliver_all();
      scenario.run_until(scenario.simulator.elapsed() + 0.1);
      EXPECT_EQ(scenario.checker.starts, starts);
      scenario.run_until(scenario.simulator.elapsed() + wait_s);
    }
  }
  EXPECT_GT(copier.starts_recorded(), 0U);
  if (before == Before::Moved) {
    EXPECT_GT(scenario.checker.starts, 8U) << "no task was moved";
  }
  EXPECT_EQ(copier.direct_starts, 0U);
  EXPECT_EQ(copier.commands_to_copies, 0U);
  scenario.run_until(250);
  const std::string stage = before == Before::Cancelled ? "withdrawn" : "done";
  EXPECT_EQ(scenario.checker.final_stage(array_id), stage);
  EXPECT_EQ(scenario.checker.final_stage(gang_id), stage);
  EXPECT_EQ(scenario.checker.starts_after_cancel, 0U);
  EXPECT_TRUE(scenario.checker.violations.empty()) << scenario.checker.report();
}

using LateStartParameters = std::tuple<Before, bool, bool>;

std::string parameter_name(const testing::TestParamInfo<LateStartParameters>& info) {
  const auto [before, leader_changes, machine_restarts] = info.param;
  std::string name = "Moved";
  if (before == Before::Ended) name = "Ended";
  if (before == Before::Cancelled) name = "Cancelled";
  if (leader_changes) name += "_LeaderChanges";
  if (machine_restarts) name += "_MachinesRestart";
  return name;
}

INSTANTIATE_TEST_SUITE_P(Transitions, LateStart,
                         testing::Combine(testing::Values(Before::Ended, Before::Cancelled,
                                                          Before::Moved),
                                          testing::Bool(), testing::Bool()),
                         parameter_name);

// Jobs begin, end, move and are cancelled while the leader crashes and machines restart within a
// second, and each start and each direct command is delivered again at drawn times.
TEST(LateStarts, StartNothingInADayOfCrashes) {
  for (const std::uint64_t seed : {181, 182, 183, 184}) {
    Scenario scenario(seed, 4, 3);
    Copier copier(scenario);
    copier.deliver_each_later();
    std::vector<std::string> cancelled;
    constexpr int kJobs = 24;
    for (int i = 0; i < kJobs; ++i) {
      scenario.simulator.schedule(Seconds(5.0 * i), [&, i] {
        auto job = array_job(i % 3 == 0 ? 2 : 4, 15);
        job.workload.gang = i % 3 == 0;
        job.workload.checkpoint_s = i % 2 == 0 ? 5 : 0;
        const auto id = scenario.users.submit(job);
        if (i % 4 != 1) return;
        cancelled.push_back(id);
        scenario.simulator.schedule(Seconds(scenario.simulator.uniform(2, 20)),
                                    [&scenario, id] { scenario.users.cancel(id); });
      });
    }
    for (double t = 20; t < 130; t += 13) {
      scenario.simulator.schedule(Seconds(t), [&scenario] {
        if (scenario.leader() >= 0) scenario.crash(scenario.leader(), 0.3);
      });
      scenario.simulator.schedule(Seconds(t + 4), [&scenario] {
        if (const auto worker = scenario.cloud.random_worker()) worker->restart(0.5);
      });
      scenario.simulator.schedule(Seconds(t + 8), [&scenario] {
        if (const auto worker = scenario.cloud.random_worker()) worker->give_preemption_notice(20);
      });
    }
    scenario.run_until(400);
    EXPECT_GE(copier.starts_recorded(), std::size_t{kJobs});
    EXPECT_GT(copier.direct_commands_recorded(), 0U);
    EXPECT_EQ(copier.direct_starts, 0U) << "seed " << seed;
    EXPECT_EQ(copier.commands_to_copies, 0U) << "seed " << seed;
    for (const auto& id : scenario.users.job_ids()) {
      EXPECT_TRUE(scenario.checker.is_final(id)) << id << " seed " << seed;
    }
    EXPECT_TRUE(scenario.checker.violations.empty()) << "seed " << seed << "\n"
                                                     << scenario.checker.report();
  }
}

}  // namespace
