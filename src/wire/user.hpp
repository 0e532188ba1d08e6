#pragma once
/// @file
/// The users' interface: submissions, answers about jobs, and the paths that a node serves.

#include <string>
#include <string_view>

#include "base/model.hpp"
#include "wire/json.hpp"

namespace asterstair::wire {

/// Most tasks of a job (PROTOCOL).
inline constexpr std::uint32_t kMostTasks = 100'000;

/// Path of the users' jobs.
inline constexpr std::string_view kRunsPath = "/v2/runs";
/// Suffix of a job's path that cancels the job.
inline constexpr std::string_view kAbortSuffix = "/abort";
/// Path that tells load balancers whether the node can take requests.
inline constexpr std::string_view kReadyPath = "/ready";
/// Path of workers' heartbeats.
inline constexpr std::string_view kHeartbeatPath = "/v1/report";

/// Whether a text has the form of a job's name, such as req-000412.
bool valid_job_id(std::string_view id);

/// Decodes a job's description from a submission or a stored record. Throws DecodeError, whose text
/// names the field and is sent to the user.
JobSpec decode_job(const Json& body);

/// Encodes a job's description in the format of a submission, in which it is stored.
Json encode_job(const JobSpec& job);

/// Returns the job's name in a submission; empty if it holds no valid one.
std::string job_id_of(const Json& body);

/// Encodes the answer about a job, without counts of its tasks.
std::string encode_status(const std::string& id, JobStage stage);

/// Encodes the answer about a job.
/// @param done     number of done tasks
/// @param running  number of running tasks
std::string encode_status(const std::string& id, JobStage stage, std::uint64_t done,
                          std::uint64_t running);

/// Encodes an error for the body of an answer to a user or a worker.
std::string encode_error(std::string_view message);

}  // namespace asterstair::wire
