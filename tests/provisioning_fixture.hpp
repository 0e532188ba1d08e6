#pragma once
// Helpers of the provisioning tests.

#include <gtest/gtest.h>

#include <string>
#include <string_view>
#include <vector>

#include "provisioning/records.hpp"
#include "sim/scenario.hpp"

namespace test_support {

using namespace sim;
using namespace asterstair::provisioning;

/// Returns the keys of all operations that are stored in this state, each followed by a space.
inline std::string operations_in_state(const Scenario& scenario, const std::string& state) {
  std::string out;
  for (const auto& [key, value] : scenario.store.records()) {
    if (key.starts_with(kOperationPrefix) && value.first.value("state", "") == state)
      out += key + " ";
  }
  return out;
}

/// Whether the request asks the cloud for machines.
inline bool is_rental(const HttpRequest& request) {
  return request.target == "/machines" && request.method == "POST";
}

/// Whether the request is a transaction that writes an operation record.
inline bool writes_operation_log(const HttpRequest& request) {
  return request.target == "/txn" && request.body.find(kOperationPrefix) != std::string::npos;
}

/// Runs until `until`. Expects that the jobs are done, that all machines are returned and none
/// twice or with work on it, and that no operation is Pending.
inline void expect_clean_end(Scenario& scenario, const std::vector<std::string>& jobs,
                             double until) {
  scenario.run_until(until);
  EXPECT_TRUE(scenario.checker.violations.empty()) << scenario.checker.report();
  for (const auto& job : jobs) EXPECT_EQ(scenario.checker.final_stage(job), "done") << job;
  EXPECT_EQ(scenario.cloud.requests.double_returns, 0U);
  EXPECT_EQ(scenario.cloud.requests.returned_with_work, 0U);
  EXPECT_EQ(scenario.cloud.rented_count(), 0U);
  EXPECT_EQ(operations_in_state(scenario, "intended"), "");
}

/// Returns the fencing token of the provisioning lease, or 0 if no node holds it.
inline std::uint64_t provisioning_token(const Scenario& scenario) {
  const auto it = scenario.store.records().find(kLeaseKey);
  return it == scenario.store.records().end() ? 0 : it->second.second;
}

}  // namespace test_support
