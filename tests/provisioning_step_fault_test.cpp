// The holder of the provisioning lease fails at each step of its operations in turn: at each
// request that it sends for them, and at each response to such a request. Whatever the step, no
// machine may be rented twice, returned twice or lost. The tests check what the cloud and the
// workers have seen, and that no operation stays Pending.

#include <gtest/gtest.h>

#include <array>

#include "sim/scenario.hpp"

namespace {

using namespace sim;

// What happens to the holder at a step.
enum class HolderFault {
  ShortFreeze,   // freezes for less than its lease
  LongFreeze,    // freezes for longer than its lease
  FreezeOfBoth,  // like LongFreeze, and its successor freezes at its own first step
  Crash,         // crashes and restarts after 0.3 s
  LateMessage,   // like LongFreeze, and its request is delivered kDeliveryDelayS late
  LostAnswer,    // continues, but its request is delivered kDeliveryDelayS late, without an answer
};

constexpr std::uint64_t kSeed = 71;
// End of a run, durations of the freezes and delay of late requests, in seconds.
constexpr double kEndS = 420, kShortFreezeS = 6, kLongFreezeS = 40, kDeliveryDelayS = 90;
// In rent_one(), the first machine has been rented by this time, and none has been returned.
constexpr double kBeforeFirstReturnS = 45;

bool concerns_provisioning(const HttpRequest& request) {
  if (request.target == "/machines" || request.target == "/machines/return") return true;
  return request.target == "/txn" && request.body.find("ledger/machines/") != std::string::npos;
}

// A run of the scenario in which the holder fails at one step. Counts the steps.
class FaultedRun {
 public:
  FaultedRun(bool cloud_checks_tokens, HolderFault fault, std::size_t step)
      : scenario(kSeed), fault_(fault), step_(step) {
    scenario.cloud.checks_tokens = cloud_checks_tokens;
    scenario.network.delay_request = [this](const std::string& from, const std::string&,
                                            const HttpRequest& request) {
      if (!concerns_provisioning(request)) return 0.0;
      const bool late = fault_ == HolderFault::LateMessage || fault_ == HolderFault::LostAnswer;
      return next_step(from) && late ? kDeliveryDelayS : 0.0;
    };
    scenario.network.on_answered = [this](const std::string& from, const std::string&,
                                          const HttpRequest& request) {
      if (concerns_provisioning(request)) next_step(from);
    };
  }

  // Machines are rented, become idle and are returned. A gang is submitted in the meantime.
  void rent_and_return() {
    jobs_.push_back(scenario.users.submit(array_job(8, 20)));
    scenario.simulator.schedule(75s, [this] { jobs_.push_back(scenario.users.submit(gang())); });
    scenario.run_until(kEndS);
  }
  // One machine would have room for all tasks, but no machine boots: each is returned after its
  // boot timeout.
  void rent_one(double until) {
    scenario.cloud.boot_failure_rate = 1;
    auto job = array_job(4, kEndS);
    job.requirements.types = {"c16"};
    scenario.users.submit(job);
    scenario.run_until(until);
  }
  std::size_t rented_now() const {
    return scenario.cloud.requests.rented - scenario.cloud.requests.returned_by.size();
  }

  void check() const {
    const auto& requests = scenario.cloud.requests;
    EXPECT_TRUE(scenario.checker.violations.empty()) << scenario.checker.report();
    for (const auto& job : jobs_) EXPECT_EQ(scenario.checker.final_stage(job), "done") << job;
    EXPECT_EQ(requests.double_returns, 0U);
    EXPECT_EQ(requests.returned_with_work, 0U);
    EXPECT_EQ(scenario.cloud.rented_count(), 0U) << "some machines were not returned";
    for (const auto& [key, value] : scenario.store.records()) {
      if (key.starts_with("ledger/machines/")) {
        EXPECT_NE(value.first.value("state", ""), "intended") << key << " is still Pending";
      }
    }
  }

  Scenario scenario;
  std::size_t steps = 0;

 private:
  static Submission gang() {
    auto job = array_job(3, 20);
    job.workload.gang = true;
    job.workload.cpus = 12;
    return job;
  }

  // Counts a step, and injects the fault at the selected step. Returns whether this was the
  // selected step.
  bool next_step(const std::string& from) {
    const int node = scenario.node_named(from);
    if (node < 0) return false;
    if (fault_ == HolderFault::FreezeOfBoth && faulted_node_ >= 0 && node != faulted_node_ &&
        !both_frozen_) {
      both_frozen_ = true;
      scenario.freeze(node, kLongFreezeS);
    }
    if (steps++ != step_) return false;
    faulted_node_ = node;
    switch (fault_) {
      case HolderFault::ShortFreeze:
        scenario.freeze(node, kShortFreezeS);
        break;
      case HolderFault::LongFreeze:
      case HolderFault::FreezeOfBoth:
      case HolderFault::LateMessage:
        scenario.freeze(node, kLongFreezeS);
        break;
      case HolderFault::Crash:
        scenario.simulator.schedule(0s, [this, node] { scenario.crash(node, 0.3); });
        break;
      case HolderFault::LostAnswer:
        break;
    }
    return true;
  }

  HolderFault fault_;
  std::size_t step_;
  int faulted_node_ = -1;
  bool both_frozen_ = false;
  std::vector<std::string> jobs_;
};

constexpr std::size_t kNoStep = SIZE_MAX;

class HolderFaultAtEachStep : public testing::TestWithParam<std::tuple<HolderFault, bool>> {};

TEST_P(HolderFaultAtEachStep, ReturnsNothingTwiceAndLosesNothing) {
  const auto [fault, cloud_checks_tokens] = GetParam();
  FaultedRun baseline(cloud_checks_tokens, fault, kNoStep);
  baseline.rent_and_return();
  baseline.check();
  ASSERT_GE(baseline.steps, 24U)
      << "expected two rentals and two returns, each with its log writes";
  for (std::size_t step = 0; step < baseline.steps; ++step) {
    SCOPED_TRACE("step " + std::to_string(step));
    FaultedRun run(cloud_checks_tokens, fault, step);
    run.rent_and_return();
    run.check();
  }
}

TEST_P(HolderFaultAtEachStep, RentsNothingTwice) {
  const auto [fault, cloud_checks_tokens] = GetParam();
  FaultedRun baseline(cloud_checks_tokens, fault, kNoStep);
  baseline.rent_one(kBeforeFirstReturnS);
  ASSERT_GE(baseline.steps, 5U) << "expected one rental with its log writes";
  ASSERT_EQ(baseline.scenario.cloud.requests.rented, 1U);
  for (std::size_t step = 0; step < baseline.steps; ++step) {
    SCOPED_TRACE("step " + std::to_string(step));
    FaultedRun run(cloud_checks_tokens, fault, step);
    run.rent_one(kBeforeFirstReturnS);
    EXPECT_EQ(run.scenario.cloud.requests.rented, 1U);
    run.scenario.run_until(kDeliveryDelayS + kLongFreezeS);
    EXPECT_LE(run.rented_now(), 1U);
    EXPECT_TRUE(run.scenario.checker.violations.empty()) << run.scenario.checker.report();
  }
}

std::string parameter_name(const testing::TestParamInfo<std::tuple<HolderFault, bool>>& info) {
  constexpr std::array kNames{"ShortFreeze", "LongFreeze",  "FreezeOfBoth",
                              "Crash",       "LateMessage", "LostAnswer"};
  return std::string(kNames.at(static_cast<std::size_t>(std::get<0>(info.param)))) +
         (std::get<1>(info.param) ? "_fencing" : "");
}

INSTANTIATE_TEST_SUITE_P(
    Provisioning, HolderFaultAtEachStep,
    testing::Combine(testing::Values(HolderFault::ShortFreeze, HolderFault::LongFreeze,
                                     HolderFault::FreezeOfBoth, HolderFault::Crash,
                                     HolderFault::LateMessage, HolderFault::LostAnswer),
                     testing::Bool()),
    parameter_name);

}  // namespace
