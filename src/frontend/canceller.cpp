#include "frontend/canceller.hpp"

namespace asterstair::frontend {
namespace {

// Maximum number of writes per request. After a write that conflicts or whose outcome is unknown,
// the job is read again: it may have ended, or the write may have been applied.
constexpr int kMaxAttempts = 4;

}  // namespace

void Canceller::cancel(const std::string& id, const OnDone& done) {
  attempt(id, kMaxAttempts, done);
}

void Canceller::attempt(const std::string& id, int attempts_left, const OnDone& done) {
  jobs_.find(id, [this, id, attempts_left, done](const JobState& state) {
    if (state.outcome != JobState::Outcome::Live) {
      done(CancelOutcome::NotLive, state);
    } else if (attempts_left == 0) {
      done(CancelOutcome::Unavailable, {});
    } else {
      write(id, state, attempts_left, done);
    }
  });
}

void Canceller::write(const std::string& id, const JobState& state, int attempts_left,
                      const OnDone& done) {
  auto txn = store::make_end_job_txn(state.live.job, state.live_version, true,
                                     settings_.value_bytes, settings_.txn_ops);
  store_.write(std::move(txn), store::Urgency::User,
               [this, id, attempts_left, done](const store::WriteResult& result) {
                 switch (result.outcome) {
                   case store::WriteOutcome::Committed:
                     done(CancelOutcome::Cancelled, {});
                     return;
                   case store::WriteOutcome::NotApplied:
                     done(CancelOutcome::Unavailable, {});
                     return;
                   case store::WriteOutcome::Conflict:
                   case store::WriteOutcome::Unknown:
                     attempt(id, attempts_left - 1, done);
                     return;
                 }
               });
}

}  // namespace asterstair::frontend
