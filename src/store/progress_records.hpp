#pragma once
/// @file
/// Records of a job's progress: a bitmap of its done tasks, in chunks that fit into a value.

#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "wire/json.hpp"

namespace asterstair::store {

/// Prefix of the keys of all progress chunks.
inline constexpr const char* kProgressPrefix = "progress/";

/// Returns the key of a progress chunk of a job.
std::string progress_key(const std::string& job, std::size_t chunk);

/// Splits the key of a progress chunk into job id and chunk number; none if it is another key.
std::optional<std::pair<std::string, std::size_t>> parse_progress_key(const std::string& key);

/// Returns the number of tasks in a chunk. The bitmap has a hexadecimal digit for four tasks.
/// @param value_bytes  maximum size of a value in the state service, in bytes
std::size_t tasks_per_progress_chunk(std::size_t value_bytes);

/// Returns the number of chunks of a job with `tasks` tasks; at least 1.
std::size_t progress_chunk_count(std::uint32_t tasks, std::size_t value_bytes);

/// Encodes one chunk of a job's progress, which the leader writes.
/// @param done  whether each task of the job is done
wire::Json encode_progress_chunk(const std::vector<bool>& done, std::size_t chunk,
                                 std::size_t value_bytes);

/// Sets the elements of `done` for the done tasks of one chunk; the other elements keep their
/// values. Ignores tasks beyond the end of `done`. Throws wire::DecodeError, also for a newer
/// format, and then changes nothing: a task must not count as done by mistake. The leader calls it
/// for each chunk during the recovery of a term.
void decode_progress_chunk(const wire::Json& value, std::size_t chunk, std::size_t value_bytes,
                           std::vector<bool>& done);

}  // namespace asterstair::store
