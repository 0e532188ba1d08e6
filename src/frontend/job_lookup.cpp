#include "frontend/job_lookup.hpp"

#include <algorithm>

#include "base/log.hpp"

namespace asterstair::frontend {
namespace {

// Final records kept in memory, some 250 bytes each.
constexpr std::size_t kMaxFinalRecords = 8000;
// The second read's timeout at the least. Users wait 2 s for both reads.
constexpr Duration kMinFinalReadTimeout = 250ms;

}  // namespace

// The live record is read before the final one: a job that ends in between is found by the second
// read.
void JobLookup::find(const std::string& id, OnFound done) {
  const auto kept = finals_.find(id);
  if (kept != finals_.end()) {
    done({JobState::Outcome::Final, {}, 0, kept->second});
    return;
  }
  const auto asked_at = runtime_.now();
  store_.get(store::live_key(id),
             [this, id, asked_at, done = std::move(done)](const store::ReadResult& result) {
               on_live_read(id, asked_at, result, done);
             });
}

void JobLookup::on_live_read(const std::string& id, TimePoint asked_at,
                             const store::ReadResult& result, const OnFound& done) {
  switch (result.outcome) {
    case store::ReadOutcome::Unavailable:
      done({});
      return;
    case store::ReadOutcome::Missing:
      read_final(id, asked_at, done);
      return;
    case store::ReadOutcome::Found:
      break;
  }
  JobState state;
  try {
    state.live = store::decode_live(*result.item.value);
    state.live_version = result.item.version;
    state.outcome = JobState::Outcome::Live;
  } catch (const wire::DecodeError& error) {
    log::error("live record of {} is malformed: {}", id, error.what());
  }
  done(state);
}

void JobLookup::read_final(const std::string& id, TimePoint asked_at, const OnFound& done) {
  const Duration time_left =
      store::kReadTimeout + kMinFinalReadTimeout - (runtime_.now() - asked_at);
  store_.get(
      store::final_key(id),
      [this, id, done](const store::ReadResult& result) { done(on_final_read(id, result)); },
      std::max(kMinFinalReadTimeout, time_left));
}

JobState JobLookup::on_final_read(const std::string& id, const store::ReadResult& result) {
  JobState state;
  if (result.outcome == store::ReadOutcome::Missing) state.outcome = JobState::Outcome::Absent;
  if (result.outcome != store::ReadOutcome::Found) return state;
  try {
    state.final = store::decode_final(*result.item.value);
    state.outcome = JobState::Outcome::Final;
    remember(id, state.final);
  } catch (const wire::DecodeError& error) {
    log::error("final record of {} is malformed: {}", id, error.what());
  }
  return state;
}

void JobLookup::remember(const std::string& id, const store::FinalRecord& record) {
  if (!finals_.emplace(id, record).second) return;
  finals_order_.push_back(id);
  if (finals_order_.size() <= kMaxFinalRecords) return;
  finals_.erase(finals_order_.front());
  finals_order_.pop_front();
}

}  // namespace asterstair::frontend
