#pragma once
/// @file
/// Time types that all packages use: steady time for intervals, wall time only for the ages of
/// jobs.

#include <chrono>

namespace asterstair {

/// Clock of all intervals, timeouts and leases.
using Clock = std::chrono::steady_clock;
/// Steady time of this process. The epoch (`TimePoint{}`) means "never" or "not set".
using TimePoint = Clock::time_point;
/// Interval of steady time.
using Duration = Clock::duration;
/// Wall time. It is comparable across nodes and restarts, but it may jump.
using WallTime = std::chrono::system_clock::time_point;
/// Fractional seconds, as used in the settings and on the wire.
using Seconds = std::chrono::duration<double>;
using std::chrono::milliseconds;
using namespace std::chrono_literals;

/// Converts fractional seconds to an interval, truncated to its resolution.
inline Duration to_duration(Seconds interval) {
  return std::chrono::duration_cast<Duration>(interval);
}

/// Converts an interval to fractional seconds.
inline double seconds(Duration interval) { return std::chrono::duration<double>(interval).count(); }

/// Maximum relative drift between the steady clocks of two machines (PROTOCOL). Waits that depend
/// on another machine's clock are lengthened by it; the validity of this node's own leases is
/// shortened by it.
inline constexpr double kClockDrift = 0.001;

}  // namespace asterstair
