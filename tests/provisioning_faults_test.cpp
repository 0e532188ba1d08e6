// The holder of the machine duty stops at every step of its operations in turn: each message that
// it sends for them, and each answer that it gets. Judged by what the cloud and the workers saw.

#include <gtest/gtest.h>

#include <array>

#include "sim/scenario.hpp"

namespace {

using namespace sim;

// What befalls the holder at a step.
enum class Trouble {
  Short,          // stands still, for less than its lease
  Long,           // stands still, for longer than its lease
  Both,           // so does its successor, at its own first step
  Ends,           // its process ends, and is back in a fraction of a second
  LateMessage,    // stands still for long, and its message is carried out minutes late
  UnheardAnswer,  // goes on, but this message is never answered, and carried out late
};

constexpr std::uint64_t kSeed = 71;
constexpr double kEnd = 420, kShort = 6, kLong = 40, kLate = 90;
constexpr double kNoneReturnedYet = 45;

bool concerns_duty(const HttpRequest& request) {
  if (request.target == "/machines" || request.target == "/machines/return") return true;
  return request.target == "/txn" && request.body.find("ledger/machines/") != std::string::npos;
}

class PausedRun {
 public:
  PausedRun(bool cloud_checks_token, Trouble trouble, std::size_t step)
      : scenario(kSeed), trouble_(trouble), step_(step) {
    scenario.cloud.checks_tokens = cloud_checks_token;
    scenario.network.delay_request = [this](const std::string& from, const std::string&,
                                            const HttpRequest& request) {
      if (!concerns_duty(request)) return 0.0;
      const bool late = trouble_ == Trouble::LateMessage || trouble_ == Trouble::UnheardAnswer;
      return next_step(from) && late ? kLate : 0.0;
    };
    scenario.network.on_answered = [this](const std::string& from, const std::string&,
                                          const HttpRequest& request) {
      if (concerns_duty(request)) next_step(from);
    };
  }

  // Machines are rented, left idle and returned; a gang comes while that is going on.
  void rent_and_return() {
    jobs_.push_back(scenario.users.submit(array_job(8, 20)));
    scenario.simulator.schedule(75s, [this] { jobs_.push_back(scenario.users.submit(gang())); });
    scenario.run_until(kEnd);
  }
  // One machine would hold all the work, but none ever comes up: each is returned after a while.
  void rent_one(double until) {
    scenario.cloud.boot_failure_rate = 1;
    auto job = array_job(4, kEnd);
    job.requirements.types = {"c16"};
    scenario.users.submit(job);
    scenario.run_until(until);
  }
  std::size_t rented_now() const {
    return scenario.cloud.requests.rented - scenario.cloud.requests.returned_by.size();
  }

  void check() const {
    const auto& orders = scenario.cloud.requests;
    EXPECT_TRUE(scenario.checker.violations.empty()) << scenario.checker.report();
    for (const auto& job : jobs_) EXPECT_EQ(scenario.checker.final_stage(job), "done") << job;
    EXPECT_EQ(orders.double_returns, 0U);
    EXPECT_EQ(orders.returned_with_work, 0U);
    EXPECT_EQ(scenario.cloud.rented_count(), 0U) << "machines are lost to everybody";
    for (const auto& [key, value] : scenario.store.records()) {
      if (key.starts_with("ledger/machines/")) {
        EXPECT_NE(value.first.value("state", ""), "intended") << key << " is still open";
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

  int node_of(const std::string& name) const {
    for (int i = 0; i < scenario.node_count(); ++i) {
      if (scenario.node_name(i) == name) return i;
    }
    return -1;
  }

  // Whether this is the step.
  bool next_step(const std::string& from) {
    const int node = node_of(from);
    if (node < 0) return false;
    if (trouble_ == Trouble::Both && paused_ >= 0 && node != paused_ && !both_paused_) {
      both_paused_ = true;
      scenario.freeze(node, kLong);
    }
    if (steps++ != step_) return false;
    paused_ = node;
    switch (trouble_) {
      case Trouble::Short:
        scenario.freeze(node, kShort);
        break;
      case Trouble::Long:
      case Trouble::Both:
      case Trouble::LateMessage:
        scenario.freeze(node, kLong);
        break;
      case Trouble::Ends:
        scenario.simulator.schedule(0s, [this, node] { scenario.crash(node, 0.3); });
        break;
      case Trouble::UnheardAnswer:
        break;
    }
    return true;
  }

  Trouble trouble_;
  std::size_t step_;
  int paused_ = -1;
  bool both_paused_ = false;
  std::vector<std::string> jobs_;
};

constexpr std::size_t kNever = SIZE_MAX;

class EveryStep : public testing::TestWithParam<std::tuple<Trouble, bool>> {};

TEST_P(EveryStep, ReturnsNothingTwiceAndLosesNothing) {
  const auto [trouble, cloud_checks_token] = GetParam();
  PausedRun calm(cloud_checks_token, trouble, kNever);
  calm.rent_and_return();
  calm.check();
  ASSERT_GE(calm.steps, 24U) << "two rentals and two returns, each with its records";
  for (std::size_t step = 0; step < calm.steps; ++step) {
    SCOPED_TRACE("step " + std::to_string(step));
    PausedRun run(cloud_checks_token, trouble, step);
    run.rent_and_return();
    run.check();
  }
}

TEST_P(EveryStep, RentsNothingTwice) {
  const auto [trouble, cloud_checks_token] = GetParam();
  PausedRun calm(cloud_checks_token, trouble, kNever);
  calm.rent_one(kNoneReturnedYet);
  ASSERT_GE(calm.steps, 5U) << "one rental, with its records";
  ASSERT_EQ(calm.scenario.cloud.requests.rented, 1U);
  for (std::size_t step = 0; step < calm.steps; ++step) {
    SCOPED_TRACE("step " + std::to_string(step));
    PausedRun run(cloud_checks_token, trouble, step);
    run.rent_one(kNoneReturnedYet);
    EXPECT_EQ(run.scenario.cloud.requests.rented, 1U);
    run.scenario.run_until(kLate + kLong);
    EXPECT_LE(run.rented_now(), 1U);
    EXPECT_TRUE(run.scenario.checker.violations.empty()) << run.scenario.checker.report();
  }
}

std::string name_of(const testing::TestParamInfo<std::tuple<Trouble, bool>>& info) {
  constexpr std::array kNames{"Short", "Long", "Both", "Ends", "LateMessage", "UnheardAnswer"};
  return std::string(kNames.at(static_cast<std::size_t>(std::get<0>(info.param)))) +
         (std::get<1>(info.param) ? "_fencing" : "");
}

INSTANTIATE_TEST_SUITE_P(
    Duties, EveryStep,
    testing::Combine(testing::Values(Trouble::Short, Trouble::Long, Trouble::Both, Trouble::Ends,
                                     Trouble::LateMessage, Trouble::UnheardAnswer),
                     testing::Bool()),
    name_of);

}  // namespace
