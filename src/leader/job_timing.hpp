#pragma once
/// @file
/// How long jobs have waited, will take, and may still wait.

#include "cluster/job.hpp"
#include "leader/term_context.hpp"

namespace asterstair::leader {

/// Times of jobs, as planning and log lines need them. Pure functions of a job and the clock.
class JobTiming {
 public:
  /// The context outlives this object.
  explicit JobTiming(const TermContext& context) : context_(context) {}

  /// Time since the job was accepted, never negative.
  Seconds age(const cluster::Job& job) const;
  /// Estimated run time that a task has left, at least one second.
  Seconds remaining(const cluster::Job& job) const;
  /// Seconds until the job must start to meet its next service-level objective or deadline that can
  /// still be met; negative if none can.
  double slack(const cluster::Job& job, Seconds remaining) const;

 private:
  const TermContext& context_;
};

}  // namespace asterstair::leader
