#pragma once
/// @file
/// Scheduling formulas (DESIGN; ReclaimNet paper, sections V-A, V-B, VI-B and VI-D) as pure
/// functions. Called by the planner, by the leader and by the autoscaler.

#include <cstddef>

#include "base/time.hpp"

namespace asterstair::sched {

/// Maximum work that one loss may cost; bounds the checkpoint interval (paper V-B).
inline constexpr Seconds kLossBudget = std::chrono::minutes(30);

/// Maximum share of a task's running time that checkpoints may take (paper V-B).
inline constexpr double kMaxCheckpointShare = 0.2;

/// Weight of the expected cost of another loss, relative to the start delay, in placement_score()
/// (paper VI-B).
inline constexpr double kRepeatedLossWeight = 1.0;

/// Minimum number of machines with room in a gang's last zone for that zone to be tried first
/// (paper VI-D).
inline constexpr std::size_t kMinSameZoneMachines = 3;

/// Rate at which a machine fetches images, in gigabytes per second, if the rate of its type is
/// unknown.
inline constexpr double kDefaultFetchGbPerSecond = 0.1;

/// Returns the checkpoint interval sqrt(2 * checkpoint time / loss rate) (paper V-B, eq. 2), but at
/// least the checkpoint time divided by kMaxCheckpointShare, and otherwise at most twice the loss
/// budget. `loss_rate` is the sum over the job's machines, in losses per second.
Seconds checkpoint_interval(Seconds checkpoint_time, double loss_rate, Seconds loss_budget);

/// Returns the probability that a machine is lost within the remaining time, given its losses per
/// second. The paper calls it the takeback chance (VI-B).
double loss_probability(double loss_rate, Seconds remaining);

/// Returns the time that a machine needs to fetch an image; zero if the image is cached.
Seconds start_delay(double image_gb, bool cached, double gb_per_second = kDefaultFetchGbPerSecond);

/// Returns the score of a machine for a task, in seconds; lower is better (paper VI-B, eq. 11). It
/// is the start delay, plus the product of the weight, the loss probability over the remaining time
/// and the mean start delay on the other machines, where the task would restart after a loss.
double placement_score(Seconds delay, double loss_rate, Seconds remaining,
                       Seconds mean_delay_elsewhere, double weight = kRepeatedLossWeight);

/// Returns whether a final checkpoint is worth requesting: the checkpoint and a restart elsewhere
/// must be complete before the machine is reclaimed (paper V-A).
bool final_checkpoint_fits(Seconds checkpoint_time, Seconds restart_time,
                           Seconds preemption_notice);

}  // namespace asterstair::sched
