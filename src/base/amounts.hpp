#pragma once
/// @file
/// Comparison of amounts of resources. Admission, placement, preemption and renting all decide with
/// these functions whether a task fits, so that they agree.

#include <algorithm>
#include <cmath>

namespace asterstair {

/// Tolerance for comparing amounts of resources and task counts: sums of decimal fractions have
/// rounding errors.
inline constexpr double kRoundingTolerance = 1e-6;

/// Task count that means "no limit". It converts to std::uint32_t without overflow.
inline constexpr double kUnlimitedTasks = 1e9;

/// Returns whether the available amount of one resource covers the need.
inline bool covers(double available, double needed) {
  return available + kRoundingTolerance >= needed;
}

/// Returns how many tasks the available amount of one resource allows, rounded down: at least one
/// if and only if the amount covers the need of one task. The result is negative if the resource is
/// overcommitted, and kUnlimitedTasks if a task needs none of it.
inline double whole_tasks(double available, double per_task) {
  if (per_task <= 0) return kUnlimitedTasks;
  return std::min(kUnlimitedTasks, std::floor((available + kRoundingTolerance) / per_task));
}

}  // namespace asterstair
