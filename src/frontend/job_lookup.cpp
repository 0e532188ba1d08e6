#include "frontend/job_lookup.hpp"

#include <algorithm>

#include "base/log.hpp"

namespace asterstair::frontend {
namespace {

// Maximum number of cached final records, about 250 bytes each.
constexpr std::size_t kMaxFinalRecords = 8000;
// Minimum timeout of the second read. Users wait 2 s for both reads.
constexpr Duration kMinFinalReadTimeout = 250ms;

}  // namespace

// Reads the live record before the final one, so that the second read finds a job that ends between
// the two.
void JobLookup::find(const std::string& id, OnFound done) {
  const auto cached = final_records_.find(id);
  if (cached != final_records_.end()) {
    done({JobState::Outcome::Final, {}, 0, cached->second});
    return;
  }
  const auto started_at = runtime_.now();
  store_.get(store::live_key(id),
             [this, id, started_at, done = std::move(done)](const store::ReadResult& result) {
               on_live_read(id, started_at, result, done);
             });
}

void JobLookup::on_live_read(const std::string& id, TimePoint started_at,
                             const store::ReadResult& result, const OnFound& done) {
  switch (result.outcome) {
    case store::ReadOutcome::Unavailable:
      done({});
      return;
    case store::ReadOutcome::Missing:
      read_final(id, started_at, done);
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

void JobLookup::read_final(const std::string& id, TimePoint started_at, const OnFound& done) {
  const Duration time_left =
      store::kReadTimeout + kMinFinalReadTimeout - (runtime_.now() - started_at);
  store_.get(
      store::final_key(id),
      [this, id, done](const store::ReadResult& result) { done(decode_final_read(id, result)); },
      std::max(kMinFinalReadTimeout, time_left));
}

JobState JobLookup::decode_final_read(const std::string& id, const store::ReadResult& result) {
  JobState state;
  if (result.outcome == store::ReadOutcome::Missing) state.outcome = JobState::Outcome::Absent;
  if (result.outcome != store::ReadOutcome::Found) return state;
  try {
    state.final = store::decode_final(*result.item.value);
    state.outcome = JobState::Outcome::Final;
    cache_final_record(id, state.final);
  } catch (const wire::DecodeError& error) {
    log::error("final record of {} is malformed: {}", id, error.what());
  }
  return state;
}

void JobLookup::cache_final_record(const std::string& id, const store::FinalRecord& record) {
  if (!final_records_.emplace(id, record).second) return;
  final_record_order_.push_back(id);
  if (final_record_order_.size() <= kMaxFinalRecords) return;
  final_records_.erase(final_record_order_.front());
  final_record_order_.pop_front();
}

}  // namespace asterstair::frontend
