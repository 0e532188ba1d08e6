// Tests of the settings and features parsers: which files are accepted, and which field an error
// names.

#include "base/settings.hpp"

#include <gtest/gtest.h>

#include "base/features.hpp"
#include "sim/settings_text.hpp"

namespace {

using namespace asterstair;

// Returns the error for the text; empty if the text is accepted.
template <typename Parse>
std::string error_of(Parse parse, const std::string& text) {
  try {
    parse(text);
  } catch (const SettingsError& error) {
    return error.what();
  }
  return "";
}

// Returns the error for valid settings in which `from` is replaced by `to`; empty if they are
// accepted.
std::string settings_error(const std::string& from, const std::string& to) {
  auto text = sim::settings_text(0);
  const auto at = text.find(from);
  EXPECT_NE(at, std::string::npos) << from;
  text.replace(at, from.size(), to);
  return error_of(parse_settings, text);
}

TEST(Settings, NameTheOffendingField) {
  EXPECT_EQ(settings_error("", "new_field = 3\n"), "");
  EXPECT_NE(settings_error("node = \"ghat-0\"", "").find("node"), std::string::npos);
  EXPECT_NE(settings_error("10.0.0.1:8080", "10.0.0.1").find("api_addr"), std::string::npos);
  EXPECT_NE(settings_error("lease_s = 10.0", "lease_s = \"x\"").find("lease_s"), std::string::npos);
  EXPECT_NE(settings_error("report_s = 2.0", "report_s = -2.0").find("report_s"),
            std::string::npos);
  EXPECT_NE(settings_error("[external]", "[internal]").find("external"), std::string::npos);
  EXPECT_NE(settings_error("count = 3", "count = = 3").find("line"), std::string::npos);
}

TEST(Settings, RejectALeaseThatOutlivesTheCancellationDeadline) {
  EXPECT_NE(settings_error("cancel_s = 40.0", "cancel_s = 12.0").find("cancel_s"),
            std::string::npos);
  const auto settings = parse_settings(sim::settings_text(0));
  EXPECT_LT(leader_ttl(settings) + settings.lease, settings.cancel_within);
}

// Every accepted file satisfies the inequality in docs/design.md, "Why cancelled tasks end in
// time". A file that cannot satisfy it is rejected with an error that names the field.
TEST(Settings, AreAcceptedOnlyIfCancelledTasksEndInTime) {
  const auto drifted = [](Duration d) {
    return to_duration(Seconds(seconds(d) * (1 + kClockDrift)));
  };
  std::size_t accepted = 0, rejected = 0;
  for (const double report : {1.0, 2.0, 3.0, 5.0}) {
    for (const double lease : {5.0, 10.0, 20.0, 26.5, 60.0}) {
      for (const double margin : {0.0, 1.0, 3.9, 4.0, 5.2, 7.0, 7.2, 20.0, 30.0, 600.0}) {
        const sim::Timing timing{.report_s = report, .lease_s = lease, .cancel_s = lease + margin};
        try {
          const auto settings = parse_settings(sim::settings_text(0, 3, timing));
          ++accepted;
          EXPECT_LE(drifted(max_view_staleness(settings)) + drifted(settings.lease) + 500ms,
                    settings.cancel_within)
              << report << " " << lease << " " << margin;
          EXPECT_LE(leader_ttl(settings), max_view_staleness(settings));
          EXPECT_GE(max_view_staleness(settings), 2s);
        } catch (const SettingsError& error) {
          ++rejected;
          EXPECT_NE(std::string(error.what()).find("cancel_s"), std::string::npos) << error.what();
          EXPECT_LT(margin, std::max(2.0, report) + 2.2)
              << "rejected although the inequality can hold";
        }
      }
    }
  }
  EXPECT_GT(accepted, 40U);
  EXPECT_GT(rejected, 40U);
}

TEST(Settings, RejectNonFiniteAndHugeNumbers) {
  EXPECT_NE(settings_error("lease_s = 10.0", "lease_s = inf").find("lease_s"), std::string::npos);
  EXPECT_NE(settings_error("lease_s = 10.0", "lease_s = nan").find("lease_s"), std::string::npos);
  EXPECT_NE(settings_error("value_kb = 8.0", "value_kb = 1e300").find("value_kb"),
            std::string::npos);
}

// If the worker leases are long enough, an unreachable leader must be replaced before they expire.
// A worker needs a timeout of 4 s and one round of requests to the nodes to find the next leader.
TEST(Settings, ExpireTheLeaderLeaseWellBeforeLongWorkerLeases) {
  auto text = sim::settings_text(0);
  const auto lease = [&](const char* to) {
    auto changed = text;
    changed.replace(changed.find("lease_s = 10.0"), 14, to);
    return parse_settings(changed);
  };
  const auto settings = lease("lease_s = 20.0");
  EXPECT_LE(leader_ttl(settings) + 6s, settings.lease);
  EXPECT_GE(leader_ttl(settings), 10s);
  const auto longer = lease("lease_s = 26.5");
  EXPECT_LE(leader_ttl(longer) + 6s, longer.lease);
}

TEST(Features, NameTheOffendingField) {
  EXPECT_TRUE(parse_features("[features]\nmachine_duties = true\n").durable_provisioning);
  EXPECT_FALSE(parse_features("[features]\nmachine_duties = false\n").durable_provisioning);
  EXPECT_FALSE(parse_features("[features]\n").durable_provisioning);
  EXPECT_NE(
      error_of(parse_features, "[features]\nmachine_dutys = true").find("features.machine_dutys"),
      std::string::npos);
  EXPECT_NE(
      error_of(parse_features, "[features]\nmachine_duties = 1").find("features.machine_duties"),
      std::string::npos);
  EXPECT_NE(error_of(parse_features, "[feature]\n").find("feature:"), std::string::npos);
  EXPECT_NE(error_of(parse_features, "").find("features:"), std::string::npos);
  EXPECT_NE(error_of(parse_features, "[features\n").find("line 1"), std::string::npos);
  EXPECT_THROW(load_features("/nonexistent/features.toml"), SettingsError);
}

}  // namespace
