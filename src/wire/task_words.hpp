#pragma once
/// @file
/// Decodes task IDs, task states and exit causes of the workers' protocol. Only src/wire may
/// include this header.

#include <string_view>

#include "base/model.hpp"

namespace asterstair::wire {

/// Decodes a task ID of the form "<job>/<index>". Throws DecodeError.
TaskId decode_task_id(std::string_view text);

/// Decodes a task's state. Throws DecodeError for an unknown state, because the leader could not
/// tell which resources the task occupies.
TaskState decode_task_state(std::string_view word);

/// Decodes the reason why an attempt exited. Returns ExitCause::None for an unknown reason.
ExitCause decode_exit_cause(std::string_view word);

}  // namespace asterstair::wire
