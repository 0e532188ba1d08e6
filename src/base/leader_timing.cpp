// Times of the leader that follow from the settings; docs/design.md has the argument for them.

#include <algorithm>

#include "base/settings.hpp"
#include "base/toml_reader.hpp"

namespace asterstair {
namespace {

// When a leader falls silent, the workers should find its successor before their leases expire:
// the time to live is this share of theirs. Where their leases are too short for that in any case,
// a long time to live outlasts more outages of the state service, and a majority of the nodes
// replaces the leader sooner.
constexpr auto kMinLeaderTtl = 10s;
constexpr auto kMaxLeaderTtl = 20s;

// Least staleness bound with which a leader can work.
constexpr auto kMinViewStaleness = 2s;

// For the drift of clocks on both terms, the worker's own timer and the steps in between.
constexpr auto kMinSlack = 2s;

}  // namespace

Duration max_view_staleness(const Settings& settings) {
  const Duration slack = std::max<Duration>(kMinSlack, settings.heartbeat_interval);
  const auto lease_with_drift =
      to_duration(Seconds(seconds(settings.lease) * (1 + 2 * kClockDrift)));
  const Duration staleness = settings.cancel_within - lease_with_drift - slack;
  if (staleness < kMinViewStaleness) {
    fail_setting(
        "cluster.workers.cancel_s",
        "must exceed lease_s by at least 4 s and by report_s and 2 s, so that a leader cut "
        "off from the state service stops in time");
  }
  return staleness;
}

Duration leader_ttl(const Settings& settings) {
  const Duration staleness = max_view_staleness(settings);
  const Duration before_workers_expire = settings.lease * 3 / 5;
  const Duration ttl = before_workers_expire >= kMinLeaderTtl
                           ? std::min<Duration>(before_workers_expire, kMaxLeaderTtl)
                           : kMaxLeaderTtl;
  return std::min(staleness, ttl);
}

}  // namespace asterstair
