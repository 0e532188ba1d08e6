#include "wire/worker.hpp"

#include <fmt/format.h>

#include <charconv>
#include <cmath>

#include "wire/names.hpp"
#include "wire/user.hpp"

namespace asterstair::wire {
namespace {

constexpr const char* kStart = "run";
constexpr const char* kStop = "kill";
constexpr const char* kForget = "clear";

TaskId decode_task(const std::string& text) {
  const auto slash = text.rfind('/');
  TaskId out;
  if (slash == std::string::npos) throw BadMessage("a task's name has no number");
  out.job = text.substr(0, slash);
  const char* first = text.data() + slash + 1;
  const char* last = text.data() + text.size();
  const auto [end, error] = std::from_chars(first, last, out.index);
  if (error != std::errc() || end != last) throw BadMessage("a task's name has no number");
  return out;
}

std::string task_name(const TaskId& task) { return task.job + "/" + std::to_string(task.index); }

TaskState decode_state(const std::string& word) {
  if (word == "pulling") return TaskState::Fetching;
  if (word == "gathering") return TaskState::Waiting;
  if (word == "running") return TaskState::Running;
  if (word == "saving") return TaskState::Saving;
  if (word == "exited") return TaskState::Exited;
  throw BadMessage("unknown task state " + word);
}

ExitCause decode_cause(const std::string& word) {
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

// Reads a report as it is parsed, without building a tree of it first: reports are by far the most
// of what a leader reads.
class ReportReader : public nlohmann::json_sax<Json> {
 public:
  bool complete() const { return done_ && seen_ == AllSeen; }
  std::string trouble() const { return trouble_.empty() ? "a field is missing" : trouble_; }
  WorkerReport take() { return std::move(report_); }

  bool null() override { return value_seen(); }
  bool boolean(bool v) override {
    if (depth_ == InTop && key_ == name::kSpot) report_.spot = v;
    if (depth_ == InTask && key_ == name::kSaved) task_.saved = v;
    return value_seen();
  }
  bool number_integer(number_integer_t v) override {
    return v >= 0 ? number_unsigned(static_cast<std::uint64_t>(v)) : fail("a number is negative");
  }
  bool number_unsigned(number_unsigned_t v) override {
    if (depth_ == InTop) {
      if (key_ == name::kSession) field(SessionSeen, report_.session, v);
      if (key_ == name::kSeq) field(SeqSeen, report_.seq, v);
      if (key_ == name::kToken) field(TokenSeen, report_.token, v);
      if (key_ == name::kNotice) report_.notice = Seconds(static_cast<double>(v));
    } else if (depth_ == InTask && key_ == name::kAttempt) {
      field(AttemptSeen, task_.attempt, v);
    }
    return value_seen();
  }
  bool number_float(number_float_t v, const string_t&) override {
    if (depth_ == InTop && key_ == name::kNotice) {
      if (!std::isfinite(v) || v < 0) return fail("the notice is not a time");
      report_.notice = Seconds(v);
    }
    return value_seen();
  }
  bool string(string_t& v) override {
    if (depth_ == InTop) {
      if (key_ == name::kMachine) field(MachineSeen, report_.machine, v);
      if (key_ == name::kAddress) field(AddressSeen, report_.address, v);
      if (key_ == name::kType) field(TypeSeen, report_.type, v);
      if (key_ == name::kZone) field(ZoneSeen, report_.zone, v);
    } else if (depth_ == InTask) {
      try {
        if (key_ == name::kTask) field(NameSeen, task_.task, decode_task(v));
        if (key_ == name::kState) field(StateSeen, task_.state, decode_state(v));
      } catch (const BadMessage& e) {
        return fail(e.what());
      }
      if (key_ == name::kCause) task_.cause = decode_cause(v);
    }
    return value_seen();
  }
  bool binary(binary_t&) override { return fail("binary values have no place here"); }
  bool start_object(std::size_t) override {
    if (depth_ == 0) {
      depth_ = InTop;
    } else if (skipped_ == 0 && depth_ == InList) {
      depth_ = InTask;
      task_ = TaskReport{};
      task_seen_ = 0;
    } else {
      ++skipped_;  // a field nobody here knows
    }
    return true;
  }
  bool end_object() override {
    if (skipped_ > 0) {
      --skipped_;
      return true;
    }
    if (depth_ == InTask) {
      if (task_seen_ != AllTaskSeen) return fail("a task's field is missing");
      if (task_.state != TaskState::Exited) {
        task_.cause = ExitCause::None;
        task_.saved = false;
      }
      report_.tasks.push_back(std::move(task_));
      depth_ = InList;
    } else {
      depth_ = 0;
      done_ = true;
    }
    return true;
  }
  bool start_array(std::size_t) override {
    if (depth_ == 0) return fail("not an object");
    if (skipped_ == 0 && depth_ == InTop && key_ == name::kTasks) {
      depth_ = InList;
    } else {
      ++skipped_;
    }
    return true;
  }
  bool end_array() override {
    if (skipped_ > 0) {
      --skipped_;
    } else {
      depth_ = InTop;
    }
    return true;
  }
  bool key(string_t& v) override {
    // Within a field that is skipped nothing has a meaning.
    if (skipped_ == 0) key_.swap(v);
    return true;
  }
  bool parse_error(std::size_t, const std::string&, const nlohmann::detail::exception&) override {
    return fail("not JSON");
  }

 private:
  enum Depth { InTop = 1, InList, InTask };
  enum Seen : unsigned {
    MachineSeen = 1,
    AddressSeen = 2,
    TypeSeen = 4,
    ZoneSeen = 8,
    SessionSeen = 16,
    SeqSeen = 32,
    TokenSeen = 64,
    AllSeen = 127,
    NameSeen = 1,
    AttemptSeen = 2,
    StateSeen = 4,
    AllTaskSeen = 7
  };

  template <typename T, typename V>
  void field(unsigned seen, T& to, V&& value) {
    if (skipped_ > 0) return;
    to = std::forward<V>(value);
    (depth_ == InTop ? seen_ : task_seen_) |= seen;
  }
  bool value_seen() {
    if (depth_ == 0) return fail("not an object");
    if (depth_ == InList && skipped_ == 0) return fail("a task is not an object");
    return true;
  }
  bool fail(const char* why) {
    if (trouble_.empty()) trouble_ = why;
    return false;
  }

  WorkerReport report_;
  TaskReport task_;
  std::string key_, trouble_;
  int depth_ = 0;
  std::size_t skipped_ = 0;
  unsigned seen_ = 0, task_seen_ = 0;
  bool done_ = false;
};

Json encode_command(const Command& c) {
  Json out = {{name::kTask, task_name(c.task)}, {name::kAttempt, c.attempt}};
  switch (c.op) {
    case Command::Op::Start:
      out[name::kOp] = kStart;
      if (c.interval) out[name::kInterval] = c.interval->count();
      break;
    case Command::Op::Stop:
      out[name::kOp] = kStop;
      out[name::kGrace] = c.grace.count();
      break;
    case Command::Op::Forget:
      out[name::kOp] = kForget;
      break;
  }
  return out;
}

Json encode_list(const std::vector<Command>& commands, std::size_t room) {
  Json out = Json::array();
  for (const auto& c : commands) {
    // The longest command is its two names and some fixed words; counting it this way spares
    // a second dump.
    const std::size_t size = c.task.job.size() + 140;
    if (size > room) break;
    room -= size;
    out.push_back(encode_command(c));
  }
  return out;
}

}  // namespace

WorkerReport decode_report(const std::string& body) {
  ReportReader reader;
  if (!Json::sax_parse(body, &reader) || !reader.complete()) throw BadMessage(reader.trouble());
  return reader.take();
}

std::string encode_commands(std::uint64_t token, const std::vector<Command>& commands) {
  // Most answers hold no command.
  if (commands.empty()) {
    return fmt::format(R"({{"{}":{},"{}":[]}})", name::kToken, token, name::kCommands);
  }
  return dump({{name::kToken, token}, {name::kCommands, encode_list(commands, kLongestAnswer)}});
}

std::string encode_direct(std::uint64_t token, std::uint64_t session,
                          const std::vector<Command>& commands) {
  return dump({{name::kToken, token},
               {name::kSession, session},
               {name::kCommands, encode_list(commands, kLongestAnswer)}});
}

std::string encode_not_leader(const std::string& leader) {
  Json out = Json::object();
  if (!leader.empty()) out[name::kLeader] = leader;
  return dump(out);
}

}  // namespace asterstair::wire
