#pragma once
// What the tests of provisioning look at.

#include <gtest/gtest.h>

#include <string>
#include <string_view>
#include <vector>

#include "provisioning/records.hpp"
#include "sim/scenario.hpp"

namespace test_support {

using namespace sim;
using namespace asterstair::provisioning;

/// The keys of all operations in this state.
inline std::string operations_in(const Scenario& scenario, const std::string& state) {
  std::string out;
  for (const auto& [key, value] : scenario.store.records()) {
    if (key.starts_with(kOperationPrefix) && value.first.value("state", "") == state)
      out += key + " ";
  }
  return out;
}

inline bool is_rental(const HttpRequest& request) {
  return request.target == "/machines" && request.method == "POST";
}

inline bool writes_operation_log(const HttpRequest& request) {
  return request.target == "/txn" && request.body.find(kOperationPrefix) != std::string::npos;
}

/// Runs until `until` and expects that the jobs are done and all machines returned, with no
/// operation left open.
inline void expect_clean_end(Scenario& scenario, const std::vector<std::string>& jobs,
                             double until) {
  scenario.run_until(until);
  EXPECT_TRUE(scenario.checker.violations.empty()) << scenario.checker.report();
  for (const auto& job : jobs) EXPECT_EQ(scenario.checker.final_stage(job), "done") << job;
  EXPECT_EQ(scenario.cloud.requests.double_returns, 0U);
  EXPECT_EQ(scenario.cloud.requests.returned_with_work, 0U);
  EXPECT_EQ(scenario.cloud.rented_count(), 0U);
  EXPECT_EQ(operations_in(scenario, "intended"), "");
}

/// The token of the provisioning lease; 0 if nobody holds it.
inline std::uint64_t provisioning_token(const Scenario& scenario) {
  const auto it = scenario.store.records().find(kLeaseKey);
  return it == scenario.store.records().end() ? 0 : it->second.second;
}

}  // namespace test_support
