#pragma once
/// @file
/// Reads the durable state of jobs from the state service.

#include <cstdint>
#include <functional>
#include <list>
#include <string>
#include <unordered_map>

#include "base/runtime.hpp"
#include "store/records.hpp"
#include "store/store.hpp"

namespace asterstair::frontend {

/// Durable state of a job, read from the state service.
struct JobState {
  /// Result of the lookup.
  enum class Outcome {
    /// The job is accepted and neither done nor cancelled. `live` and `live_version` are set.
    Live,
    /// The job is done or cancelled. `final` is set.
    Final,
    /// No job has this ID.
    Absent,
    /// The state service does not respond, or the record is malformed.
    Unavailable
  };
  /// Result of the lookup.
  Outcome outcome = Outcome::Unavailable;
  /// The live record, if the outcome is Live.
  store::LiveRecord live;
  /// Version of the live record, for a compare-and-swap, if the outcome is Live.
  std::uint64_t live_version = 0;
  /// The final record, if the outcome is Final.
  store::FinalRecord final;
};

/// Looks up jobs in the state service. Caches final records, which never change.
///
/// Owned by Frontend.
class JobLookup {
 public:
  /// Receives the state of the job.
  using OnFound = std::function<void(const JobState&)>;

  /// Both references must outlive this object.
  JobLookup(Runtime& runtime, store::Store& store) : runtime_(runtime), store_(store) {}

  /// Looks up the job. Calls `done` exactly once: immediately if the final record is cached,
  /// otherwise when the state service has responded or the reads have timed out.
  void find(const std::string& id, OnFound done);

 private:
  void on_live_read(const std::string& id, TimePoint started_at, const store::ReadResult& result,
                    const OnFound& done);
  void read_final(const std::string& id, TimePoint started_at, const OnFound& done);
  JobState decode_final_read(const std::string& id, const store::ReadResult& result);
  void cache_final_record(const std::string& id, const store::FinalRecord& record);

  Runtime& runtime_;
  store::Store& store_;
  std::unordered_map<std::string, store::FinalRecord> final_records_;
  std::list<std::string> final_record_order_;  // in order of insertion; the oldest is evicted first
};

}  // namespace asterstair::frontend
