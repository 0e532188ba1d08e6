#pragma once
/// @file
/// Age, remaining run time and slack of jobs.

#include "cluster/job.hpp"
#include "leader/term_context.hpp"

namespace asterstair::leader {

/// Computes times of jobs for planning and log lines, from the job, the settings and the clock. Has
/// no state of its own.
class JobTiming {
 public:
  /// The context outlives this object.
  explicit JobTiming(const TermContext& context) : context_(context) {}

  /// Time since the job was accepted, never negative.
  Seconds age(const cluster::Job& job) const;
  /// Estimated remaining run time of a task of the job, at least one second.
  Seconds remaining(const cluster::Job& job) const;
  /// Seconds until the job must start to meet the first of its deadline and service-level
  /// objectives that can still be met; negative if none of them can.
  double slack(const cluster::Job& job, Seconds remaining) const;

 private:
  const TermContext& context_;
};

}  // namespace asterstair::leader
