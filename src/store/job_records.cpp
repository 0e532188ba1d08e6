#include "store/job_records.hpp"

#include "store/progress_records.hpp"
#include "wire/user.hpp"

namespace asterstair::store {
namespace {

constexpr const char* kFinalPrefix = "final/";

constexpr const char* kJobField = "job";
constexpr const char* kAcceptedField = "at";  // milliseconds since the epoch of the wall clock
constexpr const char* kEndField = "end";
constexpr const char* kTasksField = "tasks";

constexpr const char* kCancelledValue = "cancelled";
constexpr const char* kDoneValue = "done";

}  // namespace

std::string live_key(const std::string& job) { return kLivePrefix + job; }
std::string final_key(const std::string& job) { return kFinalPrefix + job; }

wire::Json encode_live(const JobSpec& job, WallTime accepted) {
  const auto since_epoch = std::chrono::duration_cast<milliseconds>(accepted.time_since_epoch());
  return {{kJobField, wire::encode_job(job)}, {kAcceptedField, since_epoch.count()}};
}

LiveRecord decode_live(const wire::Json& value) {
  LiveRecord record;
  record.job = wire::decode_job(wire::member(value, kJobField));
  record.accepted = WallTime(milliseconds(wire::integer(value, kAcceptedField)));
  return record;
}

wire::Json encode_final(const FinalRecord& record) {
  return {{kEndField, record.cancelled ? kCancelledValue : kDoneValue},
          {kTasksField, record.tasks}};
}

FinalRecord decode_final(const wire::Json& value) {
  FinalRecord record;
  record.cancelled = wire::text(value, kEndField) == kCancelledValue;
  record.tasks = static_cast<std::uint32_t>(wire::integer(value, kTasksField));
  return record;
}

wire::Txn make_end_job_txn(const JobSpec& job, std::uint64_t live_version, bool cancelled,
                           std::size_t value_bytes, std::size_t txn_ops) {
  wire::Txn txn;
  txn.conditions.push_back({live_key(job.id), live_version});
  txn.changes.push_back({live_key(job.id), std::nullopt});
  txn.changes.push_back({final_key(job.id), encode_final({cancelled, job.tasks})});
  const auto chunks = progress_chunk_count(job.tasks, value_bytes);
  for (std::size_t chunk = 0; chunk < chunks && txn.changes.size() < txn_ops; ++chunk) {
    txn.changes.push_back({progress_key(job.id, chunk), std::nullopt});
  }
  return txn;
}

}  // namespace asterstair::store
