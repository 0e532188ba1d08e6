#pragma once
/// \file
/// The request that scheduling runs again, raised by whatever changes its result.

namespace asterstair::leader {

/// Set by modules that free resources or add work, cleared by SchedulingLoop.
class SchedulingTrigger {
 public:
  void request() { requested_ = true; }
  void clear() { requested_ = false; }
  bool requested() const { return requested_; }

 private:
  bool requested_ = false;
};

}  // namespace asterstair::leader
