// Reads workers' heartbeats. They are by far the most of what a leader reads, so they are parsed in
// place and by events, straight into the typed message.

#include <rapidjson/error/en.h>
#include <rapidjson/reader.h>

#include <charconv>
#include <cmath>
#include <string_view>

#include "wire/names.hpp"
#include "wire/worker.hpp"

namespace asterstair::wire {
namespace {

TaskId decode_task(std::string_view text) {
  const auto slash = text.rfind('/');
  if (slash == std::string_view::npos) throw DecodeError("a task's name has no number");
  TaskId out;
  const char* first = text.data() + slash + 1;
  const char* last = text.data() + text.size();
  const auto [end, error] = std::from_chars(first, last, out.index);
  if (error != std::errc() || end != last) throw DecodeError("a task's name has no number");
  out.job = text.substr(0, slash);
  return out;
}

TaskState decode_state(std::string_view word) {
  if (word == "pulling") return TaskState::Fetching;
  if (word == "gathering") return TaskState::Waiting;
  if (word == "running") return TaskState::Running;
  if (word == "saving") return TaskState::Saving;
  if (word == "exited") return TaskState::Exited;
  throw DecodeError("unknown task state " + std::string(word));
}

ExitCause decode_cause(std::string_view word) {
  if (word == "done") return ExitCause::Done;
  if (word == "halted") return ExitCause::Stopped;
  if (word == "peers") return ExitCause::Peers;
  if (word == "alone") return ExitCause::Alone;
  if (word == "error") return ExitCause::Error;
  if (word == "no_room") return ExitCause::NoRoom;
  if (word == "in_use") return ExitCause::Busy;
  if (word == "no_such") return ExitCause::Unknown;
  return ExitCause::None;
}

// The fields of a heartbeat and of a task in it that are read; all others are ignored. Those before
// `Notice`, and those from `Task` to `State`, are required.
enum class Field : unsigned {
  Machine,
  Address,
  Type,
  Zone,
  Spot,
  Session,
  Seq,
  Token,
  Tasks,
  Notice,
  Task,
  Attempt,
  State,
  Cause,
  Saved,
  Unknown
};

constexpr unsigned bit(Field field) { return 1U << static_cast<unsigned>(field); }
constexpr unsigned kRequiredHeartbeatFields = bit(Field::Notice) - 1;
constexpr unsigned kRequiredOfTask = bit(Field::Task) | bit(Field::Attempt) | bit(Field::State);

struct NamedField {
  std::string_view name;
  Field field;
};

constexpr NamedField kHeartbeatFields[] = {
    {name::kMachine, Field::Machine}, {name::kAddress, Field::Address},
    {name::kType, Field::Type},       {name::kZone, Field::Zone},
    {name::kSpot, Field::Spot},       {name::kEpoch, Field::Session},
    {name::kSequence, Field::Seq},    {name::kToken, Field::Token},
    {name::kTasks, Field::Tasks},     {name::kPreemptionNotice, Field::Notice}};

constexpr NamedField kTaskFields[] = {{name::kTask, Field::Task},
                                      {name::kAttempt, Field::Attempt},
                                      {name::kState, Field::State},
                                      {name::kCause, Field::Cause},
                                      {name::kSaved, Field::Saved}};

template <std::size_t N>
Field field_named(std::string_view name, const NamedField (&fields)[N]) {
  for (const auto& known : fields) {
    if (known.name == name) return known.field;
  }
  return Field::Unknown;
}

// Takes the parser's events. Its public functions have the names that RapidJSON calls; false ends
// the parsing.
class HeartbeatDecoder {
 public:
  // NOLINTBEGIN(readability-identifier-naming)
  bool Null() { return value(); }
  bool Bool(bool v) {
    if (reads(Field::Spot)) set(report_.spot, v);
    if (reads(Field::Saved)) set(task_.saved, v);
    return value();
  }
  bool Int(int v) { return Int64(v); }
  bool Uint(unsigned v) { return Uint64(v); }
  bool Int64(std::int64_t v) {
    if (v >= 0) return Uint64(static_cast<std::uint64_t>(v));
    return field_ == Field::Unknown ? value() : fail("a number is negative");
  }
  bool Uint64(std::uint64_t v) {
    if (reads(Field::Session)) set(report_.epoch, v);
    if (reads(Field::Seq)) set(report_.sequence, v);
    if (reads(Field::Token)) set(report_.token, v);
    if (reads(Field::Attempt)) set(task_.attempt, v);
    if (reads(Field::Notice)) report_.preemption_notice = Seconds(static_cast<double>(v));
    return value();
  }
  bool Double(double v) {
    if (reads(Field::Notice)) {
      if (!std::isfinite(v) || v < 0) return fail("the notice is not a time");
      report_.preemption_notice = Seconds(v);
    }
    return value();
  }
  bool RawNumber(const char* /*text*/, unsigned /*size*/, bool /*copy*/) { return value(); }
  bool String(const char* text, unsigned size, bool /*copy*/) {
    const std::string_view v(text, size);
    if (reads(Field::Machine)) set(report_.machine, v);
    if (reads(Field::Address)) set(report_.address, v);
    if (reads(Field::Type)) set(report_.type, v);
    if (reads(Field::Zone)) set(report_.zone, v);
    if (reads(Field::Task)) set(task_.task, decode_task(v));
    if (reads(Field::State)) set(task_.state, decode_state(v));
    if (reads(Field::Cause)) task_.cause = decode_cause(v);
    return value();
  }
  bool StartObject() {
    if (place_ == Place::Outside) {
      place_ = Place::Report;
    } else if (skipped_ == 0 && place_ == Place::Tasks) {
      place_ = Place::Task;
      task_ = TaskStatus{};
      seen_of_task_ = 0;
    } else {
      ++skipped_;
    }
    field_ = Field::Unknown;
    return true;
  }
  bool Key(const char* text, unsigned size, bool /*copy*/) {
    const std::string_view name(text, size);
    if (skipped_ > 0) {
      field_ = Field::Unknown;
    } else if (place_ == Place::Task) {
      field_ = field_named(name, kTaskFields);
    } else {
      field_ = field_named(name, kHeartbeatFields);
    }
    return true;
  }
  bool EndObject(unsigned /*members*/) {
    field_ = Field::Unknown;
    if (skipped_ > 0) {
      --skipped_;
      return true;
    }
    if (place_ == Place::Task) return task_ends();
    place_ = Place::Outside;
    ended_ = true;
    return true;
  }
  bool StartArray() {
    if (place_ == Place::Outside) return fail("not an object");
    if (reads(Field::Tasks)) {
      seen_heartbeat_fields_ |= bit(Field::Tasks);
      place_ = Place::Tasks;
    } else {
      ++skipped_;
    }
    field_ = Field::Unknown;
    return true;
  }
  bool EndArray(unsigned /*elements*/) {
    if (skipped_ > 0) {
      --skipped_;
    } else {
      place_ = Place::Report;
    }
    return true;
  }
  // NOLINTEND(readability-identifier-naming)

  bool complete() const {
    return ended_ &&
           (seen_heartbeat_fields_ & kRequiredHeartbeatFields) == kRequiredHeartbeatFields;
  }
  const std::string& trouble() const { return trouble_; }
  Heartbeat take() { return std::move(report_); }

 private:
  enum class Place { Outside, Report, Tasks, Task };

  bool reads(Field field) const { return field_ == field && skipped_ == 0; }

  template <typename T, typename V>
  void set(T& to, V&& v) {
    to = std::forward<V>(v);
    (place_ == Place::Task ? seen_of_task_ : seen_heartbeat_fields_) |= bit(field_);
  }
  // Any value that is neither an object nor an array.
  bool value() {
    if (place_ == Place::Outside) return fail("not an object");
    if (place_ == Place::Tasks && skipped_ == 0) return fail("a task is not an object");
    return true;
  }
  bool task_ends() {
    if ((seen_of_task_ & kRequiredOfTask) != kRequiredOfTask)
      return fail("a task's field is missing");
    if (task_.state != TaskState::Exited) {
      task_.cause = ExitCause::None;
      task_.saved = false;
    }
    report_.tasks.push_back(std::move(task_));
    place_ = Place::Tasks;
    return true;
  }
  bool fail(const char* why) {
    if (trouble_.empty()) trouble_ = why;
    return false;
  }

  Heartbeat report_;
  TaskStatus task_;
  Field field_ = Field::Unknown;  // whose value comes next
  Place place_ = Place::Outside;
  std::size_t skipped_ = 0;  // depth within values that are ignored
  unsigned seen_heartbeat_fields_ = 0, seen_of_task_ = 0;
  bool ended_ = false;
  std::string trouble_;
};

}  // namespace

Heartbeat decode_heartbeat(std::string body) {
  // The parser takes a zero byte for the end.
  if (body.find('\0') != std::string::npos) throw DecodeError("not JSON");
  // Iterative: nesting takes memory in proportion to the body, which is bounded, and no stack.
  constexpr unsigned kFlags = rapidjson::kParseInsituFlag | rapidjson::kParseIterativeFlag |
                              rapidjson::kParseValidateEncodingFlag;
  HeartbeatDecoder reader;
  rapidjson::InsituStringStream stream(body.data());
  rapidjson::Reader parser;
  const auto result = parser.Parse<kFlags>(stream, reader);
  if (result.IsError()) {
    throw DecodeError(!reader.trouble().empty()
                          ? reader.trouble()
                          : std::string("not JSON: ") + rapidjson::GetParseError_En(result.Code()));
  }
  if (!reader.complete()) throw DecodeError("a field is missing");
  return reader.take();
}

}  // namespace asterstair::wire
