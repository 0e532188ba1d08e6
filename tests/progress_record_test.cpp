// Progress records that cannot be decoded.

#include <gtest/gtest.h>

#include "sim/scenario.hpp"
#include "store/records.hpp"

namespace {

using namespace sim;

constexpr std::size_t kValueBytes = 8192;

const std::vector<Json>& unreadable_values() {
  static const std::vector<Json> values{
      {{"done", "zz"}}, {{"done", "FF"}}, {{"done", 7}}, {{"form", 2}, {"done", "ff"}}, "ff"};
  return values;
}

// Any character was taken for a digit, so that a malformed record marked tasks as done.
TEST(ProgressRecord, IsDecodedWholeOrNotAtAll) {
  for (const auto& value : unreadable_values()) {
    std::vector<bool> done(8, false);
    EXPECT_THROW(store::decode_progress_chunk(value, 0, kValueBytes, done), wire::DecodeError)
        << value;
    EXPECT_EQ(done, std::vector<bool>(8, false)) << value;
  }
  std::vector<bool> done(8, false);
  EXPECT_THROW(store::decode_progress_chunk({{"done", "f-"}}, 0, kValueBytes, done),
               wire::DecodeError);
  EXPECT_EQ(done, std::vector<bool>(8, false)) << "the digits before the wrong one count";
}

// A new leader finds a progress record that it cannot decode. The job must not be called done
// before its tasks are, it must be completed, and the value must not be lost: it may be of a newer
// version. Guard: FencedWriter::preserve.
TEST(ProgressRecord, IsPreservedIfItCannotBeRead) {
  for (const auto& value : unreadable_values()) {
    Scenario scenario(97, 3, 3);
    const auto id = scenario.users.submit(array_job(8, 60));
    scenario.run_until(40);
    ASSERT_EQ(scenario.checker.tasks_present(id), 8U);
    const auto key = store::progress_key(id, 0);
    scenario.store.overwrite(key, value);
    ASSERT_GE(scenario.leader(), 0);
    scenario.crash(scenario.leader(), 0.2);
    scenario.run_until(300);
    EXPECT_EQ(scenario.checker.final_stage(id), "done") << value;
    EXPECT_TRUE(scenario.checker.violations.empty()) << value << "\n" << scenario.checker.report();
    const auto copy = scenario.store.records().find(store::unreadable_copy_key(key));
    ASSERT_NE(copy, scenario.store.records().end()) << value;
    EXPECT_EQ(copy->second.first, value);
  }
}

}  // namespace
