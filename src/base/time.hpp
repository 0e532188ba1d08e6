#pragma once
// Time types used everywhere: steady time for intervals, wall time only for job ages.

#include <chrono>

namespace asterstair {

using Clock = std::chrono::steady_clock;
using TimePoint = Clock::time_point;
using Duration = Clock::duration;
using WallTime = std::chrono::system_clock::time_point;
using Seconds = std::chrono::duration<double>;
using std::chrono::milliseconds;
using namespace std::chrono_literals;

inline Duration to_duration(Seconds s) { return std::chrono::duration_cast<Duration>(s); }
inline double seconds(Duration d) { return std::chrono::duration<double>(d).count(); }

// Steady clocks of two machines may differ by this share (PROTOCOL); waits for another
// machine's clock are lengthened, and our own entitlements shortened, by it.
inline constexpr double kClockDrift = 0.001;

}  // namespace asterstair
