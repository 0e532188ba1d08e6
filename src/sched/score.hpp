#pragma once
// The design's formulas (DESIGN; paper V-B and VI-B), as pure functions.

#include "base/time.hpp"

namespace asterstair::sched {

inline constexpr Seconds kLossBudget = std::chrono::minutes(30);
inline constexpr double kCheckpointShare = 0.2;  // of the time, at most
inline constexpr double kReLossWeight = 1.0;
inline constexpr std::size_t kSameZoneMinimum = 3;  // of fitting machines
inline constexpr double kFetchGbPerSecond = 0.1;

// sqrt(2 * checkpoint time / loss rate), clipped.
Seconds checkpoint_interval(Seconds checkpoint_time, double loss_rate, Seconds loss_budget);

// Chance that a machine is lost within the time.
double takeback_chance(double loss_rate, Seconds remaining);

// Image size over the fetch rate; zero when cached.
Seconds start_delay(double image_gb, bool cached, double gb_per_second = kFetchGbPerSecond);

// Start delay plus what losing the machine again would cost.
double placement_score(Seconds delay, double loss_rate, Seconds remaining,
                       Seconds mean_delay_elsewhere, double weight = kReLossWeight);

// Whether a final save is worth asking for before a machine goes.
bool final_save_fits(Seconds checkpoint_time, Seconds restart_time, Seconds preemption_notice);

}  // namespace asterstair::sched
