#pragma once
// The users' interface: submissions and answers about jobs.

#include <string>

#include "base/model.hpp"
#include "wire/json.hpp"

namespace asterstair::wire {

inline constexpr std::uint32_t kMostTasks = 100'000;

// Paths of the users' and workers' interface.
inline constexpr std::string_view kRunsPath = "/v2/runs";
inline constexpr std::string_view kAbortSuffix = "/abort";
inline constexpr std::string_view kReadyPath = "/ready";
inline constexpr std::string_view kHeartbeatPath = "/v1/report";

bool valid_job_id(std::string_view id);
JobSpec decode_job(const Json& body);     // throws DecodeError naming the field
Json encode_job(const JobSpec& job);      // the form a description is stored in
std::string job_id_of(const Json& body);  // empty if there is no valid one

std::string encode_status(const std::string& id, JobStage stage);
std::string encode_status(const std::string& id, JobStage stage, std::uint64_t done,
                          std::uint64_t running);
std::string encode_error(std::string_view message);

}  // namespace asterstair::wire
