#pragma once
/// @file
/// Records of jobs: one while a job is live, one after it has ended.

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

/// An accepted job that is neither done nor cancelled.
struct LiveRecord {
  JobSpec job;
  /// When the job was accepted; its age decides the order of jobs.
  WallTime accepted{};
};

/// Encodes a live record. The frontend writes it when it accepts a job.
wire::Json encode_live(const JobSpec& job, WallTime accepted);

/// Decodes a live record. Throws wire::DecodeError.
LiveRecord decode_live(const wire::Json& value);

/// How a job ended.
struct FinalRecord {
  /// True: a user cancelled it. False: all its tasks are done.
  bool cancelled = false;
  /// Number of the job's tasks.
  std::uint32_t tasks = 0;
};

/// Encodes a final record.
wire::Json encode_final(const FinalRecord& record);

/// Decodes a final record. Throws wire::DecodeError.
FinalRecord decode_final(const wire::Json& value);

/// Returns the transaction that ends a job: it replaces the live record by a final one and deletes
/// the job's progress. The leader calls it for a finished job, the frontend for a cancelled one.
///
/// Exactly one of finishing and cancelling can succeed, since both are conditional on the version
/// of the live record.
///
/// @param live_version  version of the live record
/// @param value_bytes   largest value that the state service takes
/// @param txn_ops       most changes in one transaction; progress chunks beyond it stay, and the
///                      leader deletes them at the recovery of a term
wire::Txn make_end_job_txn(const JobSpec& job, std::uint64_t live_version, bool cancelled,
                           std::size_t value_bytes, std::size_t txn_ops);

}  // namespace asterstair::store
