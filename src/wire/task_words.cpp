#include "wire/task_words.hpp"

#include <charconv>
#include <string>

#include "wire/json.hpp"
#include "wire/names.hpp"

namespace asterstair::wire {
namespace {

[[noreturn]] void fail_task_id() { throw DecodeError("a task's name has no number", name::kTask); }

}  // namespace

TaskId decode_task_id(std::string_view text) {
  const auto slash = text.rfind('/');
  if (slash == std::string_view::npos) fail_task_id();
  TaskId task;
  const char* const index_begin = text.data() + slash + 1;
  const char* const text_end = text.data() + text.size();
  const auto [index_end, error] = std::from_chars(index_begin, text_end, task.index);
  if (error != std::errc() || index_end != text_end) fail_task_id();
  task.job = text.substr(0, slash);
  return task;
}

TaskState decode_task_state(std::string_view word) {
  if (word == "pulling") return TaskState::Fetching;
  if (word == "gathering") return TaskState::Waiting;
  if (word == "running") return TaskState::Running;
  if (word == "saving") return TaskState::Saving;
  if (word == "exited") return TaskState::Exited;
  throw DecodeError("unknown task state " + std::string(word), name::kState);
}

ExitCause decode_exit_cause(std::string_view word) {
  if (word == "done") return ExitCause::Done;
  if (word == "halted") return ExitCause::Stopped;
  if (word == "peers") return ExitCause::PeerLost;
  if (word == "alone") return ExitCause::PeersMissing;
  if (word == "error") return ExitCause::Error;
  if (word == "no_room") return ExitCause::NoRoom;
  if (word == "in_use") return ExitCause::Busy;
  if (word == "no_such") return ExitCause::Unknown;
  return ExitCause::None;
}

}  // namespace asterstair::wire
