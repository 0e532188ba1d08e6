#pragma once
/// @file
/// Time types that all packages use: steady time for intervals, wall time only for ages of jobs.

#include <chrono>

namespace asterstair {

/// Clock of all intervals, timeouts and leases.
using Clock = std::chrono::steady_clock;
/// Steady time of this process. The epoch (`TimePoint{}`) means "never" or "not set".
using TimePoint = Clock::time_point;
/// Interval of steady time.
using Duration = Clock::duration;
/// Wall time, which all nodes and restarts share; it may jump.
using WallTime = std::chrono::system_clock::time_point;
/// Seconds as a fraction, as settings and wire give them.
using Seconds = std::chrono::duration<double>;
using std::chrono::milliseconds;
using namespace std::chrono_literals;

/// Converts fractional seconds to an interval, cutting off below its resolution.
inline Duration to_duration(Seconds interval) {
  return std::chrono::duration_cast<Duration>(interval);
}

/// Converts an interval to fractional seconds.
inline double seconds(Duration interval) { return std::chrono::duration<double>(interval).count(); }

/// Share by which the steady clocks of two machines may differ (PROTOCOL). Waits for another
/// machine's clock are lengthened by it, and the validity of our own leases is shortened.
inline constexpr double kClockDrift = 0.001;

}  // namespace asterstair
