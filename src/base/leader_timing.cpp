// Timing of the leader, derived from the settings. docs/design.md gives the derivation.

#include <algorithm>

#include "base/settings.hpp"
#include "base/toml_reader.hpp"

namespace asterstair {
namespace {

// Bounds of the time to live of the leader's lease. It is normally 3/5 of the worker lease, so that
// workers find the next leader after a failover before their own leases expire. If that is less
// than the minimum, the worker leases are too short for this in any case, and the maximum is used:
// it outlasts more outages of the state service, and a majority of the nodes can replace the leader
// sooner.
constexpr auto kMinLeaderTtl = 10s;
constexpr auto kMaxLeaderTtl = 20s;

// Minimum staleness bound with which a leader can operate.
constexpr auto kMinViewStaleness = 2s;

// Minimum slack for clock drift in the staleness and in the lease, the worker's own timer and the
// steps in between.
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
        "must exceed lease_s by at least 4 s and by at least report_s + 2 s, so that a leader "
        "cut off from the state service stops in time");
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
