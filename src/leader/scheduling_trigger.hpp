#pragma once
/// @file
/// Request for a scheduling run, set by modules that change the scheduler's input.

namespace asterstair::leader {

/// A pending request for a scheduling run. Set by modules that free resources or add work, cleared
/// by SchedulingLoop.
class SchedulingTrigger {
 public:
  /// Requests a run.
  void request() { requested_ = true; }
  /// Clears the request, because a run begins.
  void clear() { requested_ = false; }
  /// Whether a run has been requested since the last one began.
  bool requested() const { return requested_; }

 private:
  bool requested_ = false;
};

}  // namespace asterstair::leader
