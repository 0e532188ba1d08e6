#pragma once
/// @file
/// The formulas of the design (DESIGN; ReclaimNet paper, sections V-A, V-B, VI-B and VI-D) as pure
/// functions. Called by the planner, by the leader and by the autoscaler.

#include <cstddef>

#include "base/time.hpp"

namespace asterstair::sched {

/// Work that one loss may cost at most; bounds the checkpoint interval (paper V-B).
inline constexpr Seconds kLossBudget = std::chrono::minutes(30);

/// Largest share of a task's time that checkpoints may take (paper V-B).
inline constexpr double kCheckpointShare = 0.2;

/// Weight of a repeated loss against a start delay in placement_score() (paper VI-B).
inline constexpr double kRepeatedLossWeight = 1.0;

/// Number of fitting machines in a gang's last zone from which the zone is tried first (paper
/// VI-D).
inline constexpr std::size_t kSameZoneMinimum = 3;

/// Rate at which a machine fetches an image, in gigabytes per second, where its type's own rate is
/// not known.
inline constexpr double kFetchGbPerSecond = 0.1;

/// Returns sqrt(2 * checkpoint time / loss rate) (paper V-B, eq. 2), but at least the checkpoint
/// time over kCheckpointShare, and at most twice the loss budget. `loss_rate` is the sum over the
/// job's machines, in losses per second.
Seconds checkpoint_interval(Seconds checkpoint_time, double loss_rate, Seconds loss_budget);

/// Returns the probability that a machine is lost within the remaining time, from its losses per
/// second; the paper's takeback chance (VI-B).
double loss_probability(double loss_rate, Seconds remaining);

/// Returns the time in which a machine fetches an image; zero if it is cached.
Seconds start_delay(double image_gb, bool cached, double gb_per_second = kFetchGbPerSecond);

/// Returns the score of a machine for a task, in seconds; less is better (paper VI-B, eq. 11): the
/// start delay, plus the loss probability over the remaining time multiplied by the weight and by
/// the mean start delay on the other machines, where the task would have to start again.
double placement_score(Seconds delay, double loss_rate, Seconds remaining,
                       Seconds mean_delay_elsewhere, double weight = kRepeatedLossWeight);

/// Returns whether a final checkpoint is worth asking for: it and a restart must end before the
/// machine is reclaimed (paper V-A).
bool final_checkpoint_fits(Seconds checkpoint_time, Seconds restart_time,
                           Seconds preemption_notice);

}  // namespace asterstair::sched
