// Decodes workers' heartbeats. A leader reads far more of them than of anything else, so they are
// parsed in place and by events, straight into the typed message, with no allocation per task.

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

/// Handler of the parser's events. RapidJSON prescribes the names of its public functions up to
/// EndArray(); each returns false to end the parsing.
class HeartbeatDecoder {
 public:
  // NOLINTBEGIN(readability-identifier-naming)
  bool Null() { return on_scalar(); }

  bool Bool(bool value) {
    if (reads(Field::Spot)) set(heartbeat_.spot, value);
    if (reads(Field::Saved)) set(task_.saved, value);
    return on_scalar();
  }

  bool Int(int value) { return Int64(value); }
  bool Uint(unsigned value) { return Uint64(value); }

  bool Int64(std::int64_t value) {
    if (value >= 0) return Uint64(static_cast<std::uint64_t>(value));
    return field_ == Field::Unknown ? on_scalar() : fail("a number is negative", name_of(field_));
  }

  bool Uint64(std::uint64_t value) {
    if (reads(Field::Epoch)) set(heartbeat_.epoch, value);
    if (reads(Field::Sequence)) set(heartbeat_.sequence, value);
    if (reads(Field::Token)) set(heartbeat_.token, value);
    if (reads(Field::Attempt)) set(task_.attempt, value);
    if (reads(Field::PreemptionNotice)) {
      heartbeat_.preemption_notice = Seconds(static_cast<double>(value));
    }
    return on_scalar();
  }

  bool Double(double value) {
    if (reads(Field::PreemptionNotice)) {
      if (!std::isfinite(value) || value < 0) {
        return fail("the notice is not a time", name_of(field_));
      }
      heartbeat_.preemption_notice = Seconds(value);
    }
    return on_scalar();
  }

  bool RawNumber(const char* /*text*/, unsigned /*size*/, bool /*copy*/) { return on_scalar(); }

  bool String(const char* text, unsigned size, bool /*copy*/) {
    const std::string_view value(text, size);
    if (reads(Field::Machine)) set(heartbeat_.machine, value);
    if (reads(Field::Address)) set(heartbeat_.address, value);
    if (reads(Field::Type)) set(heartbeat_.type, value);
    if (reads(Field::Zone)) set(heartbeat_.zone, value);
    if (reads(Field::Task)) set(task_.task, decode_task_id(value));
    if (reads(Field::State)) set(task_.state, decode_task_state(value));
    if (reads(Field::Cause)) task_.cause = decode_exit_cause(value);
    return on_scalar();
  }

  bool StartObject() {
    if (place_ == Place::Outside) {
      place_ = Place::Heartbeat;
    } else if (ignored_depth_ == 0 && place_ == Place::Tasks) {
      place_ = Place::Task;
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
    } else if (place_ == Place::Task) {
      field_ = field_named(name, kHeartbeatTaskFields);
    } else {
      field_ = field_named(name, kHeartbeatFields);
    }
    return true;
  }

  bool EndObject(unsigned /*members*/) {
    field_ = Field::Unknown;
    if (ignored_depth_ > 0) {
      --ignored_depth_;
      return true;
    }
    if (place_ == Place::Task) return end_task();
    place_ = Place::Outside;
    ended_ = true;
    return true;
  }

  bool StartArray() {
    if (place_ == Place::Outside) return fail("not an object", {});
    if (reads(Field::Tasks)) {
      seen_in_heartbeat_ |= field_bit(Field::Tasks);
      place_ = Place::Tasks;
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
      place_ = Place::Heartbeat;
    }
    return true;
  }
  // NOLINTEND(readability-identifier-naming)

  /// Why a handler ended the parsing; none if none did.
  const std::optional<DecodeError>& failure() const { return failure_; }

  /// Returns the heartbeat. Throws DecodeError if it is incomplete. Called once, after the parsing.
  Heartbeat take() {
    const auto missing = missing_field(seen_in_heartbeat_, kHeartbeatFields);
    if (!ended_ || !missing.empty()) throw DecodeError("a field is missing", std::string(missing));
    return std::move(heartbeat_);
  }

 private:
  /// Where the parser is, apart from values that are ignored.
  enum class Place { Outside, Heartbeat, Tasks, Task };

  bool reads(Field field) const { return field_ == field && ignored_depth_ == 0; }

  template <typename T, typename V>
  void set(T& member, V&& value) {
    member = std::forward<V>(value);
    (place_ == Place::Task ? seen_in_task_ : seen_in_heartbeat_) |= field_bit(field_);
  }

  /// Checks that a value which is neither an object nor an array may stand here.
  bool on_scalar() {
    if (place_ == Place::Outside) return fail("not an object", {});
    if (place_ == Place::Tasks && ignored_depth_ == 0) {
      return fail("a task is not an object", name::kTasks);
    }
    return true;
  }

  bool end_task() {
    const auto missing = missing_field(seen_in_task_, kHeartbeatTaskFields);
    if (!missing.empty()) return fail("a task's field is missing", missing);
    if (task_.state != TaskState::Exited) {
      task_.cause = ExitCause::None;
      task_.saved = false;
    }
    heartbeat_.tasks.push_back(std::move(task_));
    place_ = Place::Tasks;
    return true;
  }

  bool fail(const char* message, std::string_view field) {
    if (!failure_) failure_.emplace(message, std::string(field));
    return false;
  }

  Heartbeat heartbeat_;
  TaskStatus task_;               // the task that is being read
  Field field_ = Field::Unknown;  // the field whose value comes next
  Place place_ = Place::Outside;
  std::size_t ignored_depth_ = 0;  // depth of nesting within a value that is ignored
  HeartbeatFieldSet seen_in_heartbeat_ = 0, seen_in_task_ = 0;
  bool ended_ = false;  // the heartbeat's object is complete
  std::optional<DecodeError> failure_;
};

}  // namespace

Heartbeat decode_heartbeat(std::string body) {
  // RapidJSON takes a zero byte for the end of its input and would ignore what follows.
  if (body.find('\0') != std::string::npos) throw DecodeError("not JSON");
  // Iterative: nesting takes memory in proportion to the body, whose size is bounded, and no stack.
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
