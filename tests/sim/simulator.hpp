#pragma once
// Simulated time.

#include <chrono>
#include <cstdint>
#include <functional>
#include <queue>
#include <random>
#include <utility>

#include "base/runtime.hpp"

namespace sim {

using namespace asterstair;

/// Discrete-event simulator: a virtual clock, a queue of timed actions and a random number
/// generator. All randomness comes from one seed, so the same seed gives the same run.
class Simulator {
 public:
  /// Creates a simulator whose random numbers follow from `seed`.
  explicit Simulator(std::uint64_t seed) : rng_(seed) {}

  /// Virtual steady clock. It starts at 1000 s, so that no component sees a time point of zero.
  TimePoint now() const { return now_; }
  /// Seconds since the start of the run.
  double elapsed() const;

  /// Runs `action` after `delay`; a negative delay counts as zero. Actions due at the same time run
  /// in the order in which they were scheduled.
  template <typename Rep, typename Period>
  void schedule(std::chrono::duration<Rep, Period> delay, std::function<void()> action) {
    const Duration rounded = std::chrono::duration_cast<Duration>(delay);
    push(rounded, std::move(action));
  }
  /// Runs all actions that are due by `end`, in seconds since the start of the run.
  void run_until(double end);

  /// Uniformly distributed number from [low, high).
  double uniform(double low, double high);
  /// True with the given probability.
  bool chance(double probability);
  /// The next raw number of the run's random sequence.
  Rng::result_type next_random() { return rng_(); }

  /// Called after each action, if set.
  std::function<void()> after_event;

 private:
  struct Event {
    TimePoint due;
    std::uint64_t order;
    std::function<void()> action;
    /// Inverted, because the priority queue returns the largest element first.
    bool operator<(const Event& other) const;
  };

  void push(Duration delay, std::function<void()> action);

  Rng rng_;
  TimePoint now_{to_duration(Seconds(1000))};
  std::uint64_t next_order_ = 0;
  std::priority_queue<Event> events_;
};

}  // namespace sim
