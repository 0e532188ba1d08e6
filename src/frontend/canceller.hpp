#pragma once
/// @file
/// Cancels jobs by updating their records in the store.

#include <functional>
#include <string>

#include "base/settings.hpp"
#include "frontend/job_lookup.hpp"
#include "store/store.hpp"

namespace asterstair::frontend {

/// Outcome of a cancellation.
enum class CancelOutcome {
  /// This request cancelled the job. The cancellation is durable.
  Cancelled,
  /// The job is not live or could not be read; JobState::outcome distinguishes the cases.
  NotLive,
  /// The state service does not respond, or all attempts conflicted or ended with an unknown
  /// outcome. The job may be cancelled anyway; the user must retry the request.
  Unavailable
};

/// Cancels jobs with a compare-and-swap on their live records. Owned by Frontend.
class Canceller {
 public:
  /// Receives the outcome, and the job's state if the job was not live.
  using OnDone = std::function<void(CancelOutcome, const JobState&)>;

  /// All references must outlive this object.
  Canceller(store::Store& store, const Settings& settings, JobLookup& jobs)
      : store_(store), settings_(settings), jobs_(jobs) {}

  /// Cancels the job. Calls `done` exactly once; the state is set only for NotLive.
  void cancel(const std::string& id, const OnDone& done);

 private:
  void attempt(const std::string& id, int attempts_left, const OnDone& done);
  void write(const std::string& id, const JobState& state, int attempts_left, const OnDone& done);

  store::Store& store_;
  const Settings& settings_;
  JobLookup& jobs_;
};

}  // namespace asterstair::frontend
