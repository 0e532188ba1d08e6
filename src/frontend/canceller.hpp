#pragma once
/// @file
/// Cancels jobs in the store.

#include <functional>
#include <string>

#include "base/settings.hpp"
#include "frontend/job_lookup.hpp"
#include "store/store.hpp"

namespace asterstair::frontend {

/// How a cancellation ends.
enum class CancelOutcome {
  /// This request has cancelled the job, durably.
  Cancelled,
  /// The job is not live, or could not be read: the JobState tells which.
  NotLive,
  /// The state service does not answer, or no attempt has settled it. The job may be cancelled
  /// nonetheless; the user repeats the request.
  Unavailable
};

/// Cancels jobs by a compare-and-swap on their live records. Owned by Frontend.
class Canceller {
 public:
  /// Told how the cancellation ended, and the job's state if it was not live.
  using OnDone = std::function<void(CancelOutcome, const JobState&)>;

  /// All references have to outlive this object.
  Canceller(store::Store& store, const Settings& settings, JobLookup& jobs)
      : store_(store), settings_(settings), jobs_(jobs) {}

  /// Cancels the job. `done` runs exactly once; the state is set for NotLive only.
  void cancel(const std::string& id, const OnDone& done);

 private:
  void attempt(const std::string& id, int attempts_left, const OnDone& done);
  void write(const std::string& id, const JobState& state, int attempts_left, const OnDone& done);

  store::Store& store_;
  const Settings& settings_;
  JobLookup& jobs_;
};

}  // namespace asterstair::frontend
