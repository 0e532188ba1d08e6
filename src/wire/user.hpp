#pragma once
/// @file
/// Submissions from users, responses about jobs, and the HTTP paths that a node serves.

#include <string>
#include <string_view>

#include "base/model.hpp"
#include "wire/json.hpp"

namespace asterstair::wire {

/// Maximum number of tasks of a job (PROTOCOL).
inline constexpr std::uint32_t kMaxTasksPerJob = 100'000;

/// Path under which users submit, query and cancel jobs.
inline constexpr std::string_view kRunsPath = "/v2/runs";
/// Suffix of a job's path for a cancellation request.
inline constexpr std::string_view kAbortSuffix = "/abort";
/// Path of the readiness probe for load balancers.
inline constexpr std::string_view kReadyPath = "/ready";
/// Path to which workers send heartbeats.
inline constexpr std::string_view kHeartbeatPath = "/v1/report";

/// Returns whether a text is a valid job ID, such as req-000412.
bool valid_job_id(std::string_view id);

/// Decodes a job's description from a submission or a stored record. Throws DecodeError; its text
/// names the invalid field and is sent to the user.
JobSpec decode_job(const Json& body);

/// Encodes a job's description in the format of a submission. Stored records use the same format.
Json encode_job(const JobSpec& job);

/// Returns the job ID of a submission; empty if it contains no valid ID.
std::string job_id_of(const Json& body);

/// Encodes the status of a job without its task counts.
std::string encode_status(const std::string& id, JobStage stage);

/// Encodes the status of a job.
/// @param done     number of completed tasks
/// @param running  number of running tasks
std::string encode_status(const std::string& id, JobStage stage, std::uint64_t done,
                          std::uint64_t running);

/// Encodes an error as the body of a response to a user or a worker.
std::string encode_error(std::string_view message);

}  // namespace asterstair::wire
