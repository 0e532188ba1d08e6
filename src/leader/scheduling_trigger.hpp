#pragma once
/// @file
/// The request that scheduling runs again, raised by whatever changes its result.

namespace asterstair::leader {

/// Set by modules that free resources or add work, cleared by SchedulingLoop.
class SchedulingTrigger {
 public:
  /// Asks for a run.
  void request() { requested_ = true; }
  /// Withdraws the request: a run begins.
  void clear() { requested_ = false; }
  /// Whether a run has been asked for since the last one began.
  bool requested() const { return requested_; }

 private:
  bool requested_ = false;
};

}  // namespace asterstair::leader
