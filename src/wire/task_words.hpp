#pragma once
/// @file
/// Words of the workers' protocol for tasks. Only src/wire may include this.

#include <string_view>

#include "base/model.hpp"

namespace asterstair::wire {

/// Decodes a task's name, "<job>/<index>". Throws DecodeError.
TaskId decode_task_id(std::string_view text);

/// Decodes a task's state. Throws DecodeError for an unknown one: what the machine holds would be
/// unknown.
TaskState decode_task_state(std::string_view word);

/// Decodes why an attempt has exited; ExitCause::None for an unknown cause.
ExitCause decode_exit_cause(std::string_view word);

}  // namespace asterstair::wire
