// The settings and features files: what is accepted, and the field that an error names.

#include "base/settings.hpp"

#include <gtest/gtest.h>

#include "base/features.hpp"
#include "sim/settings_text.hpp"

namespace {

using namespace asterstair;

// What is wrong with the text; empty if it is accepted.
template <typename Parse>
std::string error_of(Parse parse, const std::string& text) {
  try {
    parse(text);
  } catch (const SettingsError& e) {
    return e.what();
  }
  return "";
}

// What is wrong with valid settings once `from` is replaced by `to` in them.
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

TEST(Settings, RefuseALeaseThatOutlivesCancellations) {
  EXPECT_NE(settings_error("cancel_s = 40.0", "cancel_s = 12.0").find("cancel_s"),
            std::string::npos);
  const auto s = parse_settings(sim::settings_text(0));
  EXPECT_LT(leader_ttl(s) + s.lease, s.cancel_within);
}

// The inequality of docs/design.md, "Why cancelled tasks end in time", holds for every file that is
// accepted. A file for which it cannot hold is refused, and the field is named.
TEST(Settings, AreAcceptedOnlyIfCancelledTasksEndInTime) {
  const auto drifted = [](Duration d) {
    return to_duration(Seconds(seconds(d) * (1 + kClockDrift)));
  };
  std::size_t taken = 0, refused = 0;
  for (const double report : {1.0, 2.0, 3.0, 5.0}) {
    for (const double lease : {5.0, 10.0, 20.0, 26.5, 60.0}) {
      for (const double more : {0.0, 1.0, 3.9, 4.0, 5.2, 7.0, 7.2, 20.0, 30.0, 600.0}) {
        const sim::Timing t{.report_s = report, .lease_s = lease, .cancel_s = lease + more};
        try {
          const auto s = parse_settings(sim::settings_text(0, 3, t));
          ++taken;
          EXPECT_LE(drifted(max_view_staleness(s)) + drifted(s.lease) + 500ms, s.cancel_within)
              << report << " " << lease << " " << more;
          EXPECT_LE(leader_ttl(s), max_view_staleness(s));
          EXPECT_GE(max_view_staleness(s), 2s);
        } catch (const SettingsError& e) {
          ++refused;
          EXPECT_NE(std::string(e.what()).find("cancel_s"), std::string::npos) << e.what();
          EXPECT_LT(more, std::max(2.0, report) + 2.2) << "refused though it could hold";
        }
      }
    }
  }
  EXPECT_GT(taken, 40U);
  EXPECT_GT(refused, 40U);
}

TEST(Settings, RefuseNonFiniteAndHugeNumbers) {
  EXPECT_NE(settings_error("lease_s = 10.0", "lease_s = inf").find("lease_s"), std::string::npos);
  EXPECT_NE(settings_error("lease_s = 10.0", "lease_s = nan").find("lease_s"), std::string::npos);
  EXPECT_NE(settings_error("value_kb = 8.0", "value_kb = 1e300").find("value_kb"),
            std::string::npos);
}

// An unreachable leader is replaced while the workers still hold their leases, where these are long
// enough: a worker needs a timeout of 4 s and a round of the nodes to find the next leader.
TEST(Settings, EndTheLeadersGrantWellBeforeLongLeases) {
  auto text = sim::settings_text(0);
  const auto lease = [&](const char* to) {
    auto changed = text;
    changed.replace(changed.find("lease_s = 10.0"), 14, to);
    return parse_settings(changed);
  };
  const auto s = lease("lease_s = 20.0");
  EXPECT_LE(leader_ttl(s) + 6s, s.lease);
  EXPECT_GE(leader_ttl(s), 10s);
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
