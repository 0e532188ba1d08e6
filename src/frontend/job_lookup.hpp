#pragma once
/// @file
/// Looks up the durable state of a job.

#include <cstdint>
#include <functional>
#include <list>
#include <string>
#include <unordered_map>

#include "base/runtime.hpp"
#include "store/records.hpp"
#include "store/store.hpp"

namespace asterstair::frontend {

/// What the state service knows about a job.
struct JobState {
  /// What the store holds of the job.
  enum class Outcome {
    /// Accepted, and neither done nor cancelled. `live` and `live_version` are set.
    Live,
    /// Done or cancelled. `final` is set.
    Final,
    /// No job has this id.
    Absent,
    /// The state service does not answer, or the record is malformed.
    Unavailable
  };
  /// What the store holds of the job.
  Outcome outcome = Outcome::Unavailable;
  /// Live: the record.
  store::LiveRecord live;
  /// Version of the live record, for a compare-and-swap.
  std::uint64_t live_version = 0;
  /// Final: the record.
  store::FinalRecord final;
};

/// Looks jobs up in the state service. Keeps the final records it has seen, since how a job ended
/// never changes.
///
/// Owned by Frontend.
class JobLookup {
 public:
  /// Told the state of the job.
  using OnFound = std::function<void(const JobState&)>;

  /// Both references have to outlive this object.
  JobLookup(Runtime& runtime, store::Store& store) : runtime_(runtime), store_(store) {}

  /// Looks the job up. `done` runs exactly once: at once for a final record that is kept, else when
  /// the state service has answered or the reads have timed out.
  void find(const std::string& id, OnFound done);

 private:
  void on_live_read(const std::string& id, TimePoint asked_at, const store::ReadResult& result,
                    const OnFound& done);
  void read_final(const std::string& id, TimePoint asked_at, const OnFound& done);
  JobState on_final_read(const std::string& id, const store::ReadResult& result);
  void remember(const std::string& id, const store::FinalRecord& record);

  Runtime& runtime_;
  store::Store& store_;
  std::unordered_map<std::string, store::FinalRecord> finals_;
  std::list<std::string> finals_order_;  // by when they were added; the oldest is dropped first
};

}  // namespace asterstair::frontend
