// Decodes workers' heartbeats. A leader receives far more heartbeats than any other message, so
// they are parsed in place by an event-based (SAX) parser, directly into the typed message, without
// a JSON tree and without an allocation per task.

#include <rapidjson/error/en.h>
#include <rapidjson/reader.h>

#include <cmath>
#include <optional>
#include <string_view>

#include "wire/heartbeat_fields.hpp"
#include "wire/task_words.hpp"
#include "wire/worker.hpp"

namespace asterstair::wire {
namespace {

using Field = HeartbeatField;

/// Handles the events of RapidJSON's parser. RapidJSON requires the names of the public functions
/// from Null() to EndArray(); each returns false to stop parsing.
class HeartbeatDecoder {
 public:
  // NOLINTBEGIN(readability-identifier-naming)
  bool Null() { return check_scalar(); }

  bool Bool(bool value) {
    if (is_reading(Field::Spot)) set(heartbeat_.spot, value);
    if (is_reading(Field::Saved)) set(task_.saved, value);
    return check_scalar();
  }

  bool Int(int value) { return Int64(value); }
  bool Uint(unsigned value) { return Uint64(value); }

  bool Int64(std::int64_t value) {
    if (value >= 0) return Uint64(static_cast<std::uint64_t>(value));
    return field_ == Field::Unknown ? check_scalar()
                                    : fail("a number is negative", name_of(field_));
  }

  bool Uint64(std::uint64_t value) {
    if (is_reading(Field::Epoch)) set(heartbeat_.epoch, value);
    if (is_reading(Field::Sequence)) set(heartbeat_.sequence, value);
    if (is_reading(Field::Token)) set(heartbeat_.token, value);
    if (is_reading(Field::Attempt)) set(task_.attempt, value);
    if (is_reading(Field::PreemptionNotice)) {
      heartbeat_.preemption_notice = Seconds(static_cast<double>(value));
    }
    return check_scalar();
  }

  bool Double(double value) {
    if (is_reading(Field::PreemptionNotice)) {
      if (!std::isfinite(value) || value < 0) {
        return fail("the notice is not a time", name_of(field_));
      }
      heartbeat_.preemption_notice = Seconds(value);
    }
    return check_scalar();
  }

  bool RawNumber(const char* /*text*/, unsigned /*size*/, bool /*copy*/) { return check_scalar(); }

  bool String(const char* text, unsigned size, bool /*copy*/) {
    const std::string_view value(text, size);
    if (is_reading(Field::Machine)) set(heartbeat_.machine, value);
    if (is_reading(Field::Address)) set(heartbeat_.address, value);
    if (is_reading(Field::Type)) set(heartbeat_.type, value);
    if (is_reading(Field::Zone)) set(heartbeat_.zone, value);
    if (is_reading(Field::Task)) set(task_.task, decode_task_id(value));
    if (is_reading(Field::State)) set(task_.state, decode_task_state(value));
    if (is_reading(Field::Cause)) task_.cause = decode_exit_cause(value);
    return check_scalar();
  }

  bool StartObject() {
    if (position_ == Position::Outside) {
      position_ = Position::Heartbeat;
    } else if (ignored_depth_ == 0 && position_ == Position::TaskList) {
      position_ = Position::Task;
      task_ = TaskStatus{};
      seen_in_task_ = 0;
    } else {
      ++ignored_depth_;
    }
    field_ = Field::Unknown;
    return true;
  }

  bool Key(const char* text, unsigned size, bool /*copy*/) {
    const std::string_view name(text, size);
    if (ignored_depth_ > 0) {
      field_ = Field::Unknown;
    } else if (position_ == Position::Task) {
      field_ = find_field(name, kHeartbeatTaskFields);
    } else {
      field_ = find_field(name, kHeartbeatFields);
    }
    return true;
  }

  bool EndObject(unsigned /*members*/) {
    field_ = Field::Unknown;
    if (ignored_depth_ > 0) {
      --ignored_depth_;
      return true;
    }
    if (position_ == Position::Task) return finish_task();
    position_ = Position::Outside;
    ended_ = true;
    return true;
  }

  bool StartArray() {
    if (position_ == Position::Outside) return fail("not an object", {});
    if (is_reading(Field::Tasks)) {
      seen_in_heartbeat_ |= field_bit(Field::Tasks);
      position_ = Position::TaskList;
    } else {
      ++ignored_depth_;
    }
    field_ = Field::Unknown;
    return true;
  }

  bool EndArray(unsigned /*elements*/) {
    if (ignored_depth_ > 0) {
      --ignored_depth_;
    } else {
      position_ = Position::Heartbeat;
    }
    return true;
  }
  // NOLINTEND(readability-identifier-naming)

  /// Returns the error that stopped the parsing; none if no handler stopped it.
  const std::optional<DecodeError>& failure() const { return failure_; }

  /// Moves the heartbeat out. Throws DecodeError if it is incomplete. Called once, after parsing.
  Heartbeat take() {
    const auto missing = missing_field(seen_in_heartbeat_, kHeartbeatFields);
    if (!ended_ || !missing.empty()) throw DecodeError("a field is missing", std::string(missing));
    return std::move(heartbeat_);
  }

 private:
  /// The parser's position in the message, not counting ignored values.
  enum class Position { Outside, Heartbeat, TaskList, Task };

  bool is_reading(Field field) const { return field_ == field && ignored_depth_ == 0; }

  template <typename T, typename V>
  void set(T& member, V&& value) {
    member = std::forward<V>(value);
    (position_ == Position::Task ? seen_in_task_ : seen_in_heartbeat_) |= field_bit(field_);
  }

  /// Checks that a value which is neither an object nor an array is valid at the current position.
  /// Stops the parsing otherwise.
  bool check_scalar() {
    if (position_ == Position::Outside) return fail("not an object", {});
    if (position_ == Position::TaskList && ignored_depth_ == 0) {
      return fail("a task is not an object", name::kTasks);
    }
    return true;
  }

  bool finish_task() {
    const auto missing = missing_field(seen_in_task_, kHeartbeatTaskFields);
    if (!missing.empty()) return fail("a task's field is missing", missing);
    if (task_.state != TaskState::Exited) {
      task_.cause = ExitCause::None;
      task_.saved = false;
    }
    heartbeat_.tasks.push_back(std::move(task_));
    position_ = Position::TaskList;
    return true;
  }

  bool fail(const char* message, std::string_view field) {
    if (!failure_) failure_.emplace(message, std::string(field));
    return false;
  }

  Heartbeat heartbeat_;
  TaskStatus task_;               // the task being decoded
  Field field_ = Field::Unknown;  // the field of the next value
  Position position_ = Position::Outside;
  std::size_t ignored_depth_ = 0;  // nesting depth within an ignored value
  HeartbeatFieldSet seen_in_heartbeat_ = 0, seen_in_task_ = 0;
  bool ended_ = false;  // whether the heartbeat's object has ended
  std::optional<DecodeError> failure_;
};

}  // namespace

Heartbeat decode_heartbeat(std::string body) {
  // RapidJSON treats a zero byte as the end of its input and would ignore the rest of the body.
  if (body.find('\0') != std::string::npos) throw DecodeError("not JSON");
  // The iterative parser keeps its nesting state on the heap, in proportion to the bounded size of
  // the body. Deep nesting therefore cannot overflow the call stack.
  constexpr unsigned kFlags = rapidjson::kParseInsituFlag | rapidjson::kParseIterativeFlag |
                              rapidjson::kParseValidateEncodingFlag;
  HeartbeatDecoder decoder;
  rapidjson::InsituStringStream stream(body.data());
  rapidjson::Reader parser;
  const auto result = parser.Parse<kFlags>(stream, decoder);
  if (result.IsError()) {
    if (decoder.failure()) throw *decoder.failure();
    throw DecodeError(std::string("not JSON: ") + rapidjson::GetParseError_En(result.Code()));
  }
  return decoder.take();
}

}  // namespace asterstair::wire
