#pragma once
/// @file
/// Records of a job's progress: a bitmap of its done tasks, in chunks that fit a value.

#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "wire/json.hpp"

namespace asterstair::store {

/// Prefix of the keys of all progress chunks.
inline constexpr const char* kProgressPrefix = "progress/";

/// Returns the key of a job's progress chunk.
std::string progress_key(const std::string& job, std::size_t chunk);

/// Splits a progress chunk's key into job and number of the chunk; none if it is not such a key.
std::optional<std::pair<std::string, std::size_t>> parse_progress_key(const std::string& key);

/// Returns the number of tasks in a chunk. The bitmap takes a hexadecimal digit for four tasks.
/// @param value_bytes  largest value that the state service takes
std::size_t tasks_per_progress_chunk(std::size_t value_bytes);

/// Returns the number of chunks of a job with `tasks` tasks; at least one.
std::size_t progress_chunk_count(std::uint32_t tasks, std::size_t value_bytes);

/// Encodes one chunk of a job's progress. The leader writes it.
/// @param done  for each task of the job whether it is done
wire::Json encode_progress_chunk(const std::vector<bool>& done, std::size_t chunk,
                                 std::size_t value_bytes);

/// Marks the tasks of one chunk that are done in `done`, and leaves the others as they are. Ignores
/// tasks beyond the end of `done`. Throws wire::DecodeError. The leader calls it for each chunk at
/// the recovery of a term.
void decode_progress_chunk(const wire::Json& value, std::size_t chunk, std::size_t value_bytes,
                           std::vector<bool>& done);

}  // namespace asterstair::store
