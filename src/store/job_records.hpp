#pragma once
/// @file
/// Records of jobs: a live record until the job ends, a final record afterwards.

#include <cstdint>
#include <string>

#include "base/model.hpp"
#include "wire/json.hpp"
#include "wire/state.hpp"

namespace asterstair::store {

/// Prefix of the keys of live records.
inline constexpr const char* kLivePrefix = "live/";

/// Returns the key of a job's live record.
std::string live_key(const std::string& job);

/// Returns the key of a job's final record.
std::string final_key(const std::string& job);

/// Record of an accepted job that is neither done nor cancelled.
struct LiveRecord {
  JobSpec job;
  /// When the job was accepted. Jobs are ordered by their age since then.
  WallTime accepted{};
};

/// Encodes a live record, which the frontend writes when it accepts a job.
wire::Json encode_live(const JobSpec& job, WallTime accepted);

/// Decodes a live record. Throws wire::DecodeError.
LiveRecord decode_live(const wire::Json& value);

/// Record of how a job ended.
struct FinalRecord {
  /// True: a user cancelled the job. False: all its tasks are done.
  bool cancelled = false;
  /// Number of tasks of the job.
  std::uint32_t tasks = 0;
};

/// Encodes a final record.
wire::Json encode_final(const FinalRecord& record);

/// Decodes a final record. Throws wire::DecodeError.
FinalRecord decode_final(const wire::Json& value);

/// Returns the transaction that ends a job: it replaces the live record with a final record and
/// deletes the job's progress chunks. The leader uses it for a finished job, the frontend for a
/// cancelled job.
///
/// Only one of finishing and cancelling can succeed, because both are conditional on the version of
/// the live record.
///
/// @param live_version  version of the live record
/// @param value_bytes   maximum size of a value in the state service, in bytes
/// @param txn_ops       maximum changes in one transaction; progress chunks beyond it stay, and the
///                      leader deletes them during the recovery of a later term
wire::Txn make_end_job_txn(const JobSpec& job, std::uint64_t live_version, bool cancelled,
                           std::size_t value_bytes, std::size_t txn_ops);

}  // namespace asterstair::store
