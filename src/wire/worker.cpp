#include "wire/worker.hpp"

#include <charconv>

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

ExitCause decode_cause(const Json& task) {
  const Json* v = optional_member(task, name::kCause);
  if (v == nullptr || !v->is_string()) return ExitCause::None;
  const auto& word = v->get_ref<const std::string&>();
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
  const Json in = parse(body);
  WorkerReport r;
  r.machine = text(in, name::kMachine);
  r.address = text(in, name::kAddress);
  r.type = text(in, name::kType);
  r.zone = text(in, name::kZone);
  r.spot = flag_or(in, name::kSpot, false);
  r.session = integer(in, name::kSession);
  r.seq = integer(in, name::kSeq);
  r.token = integer(in, name::kToken);
  if (optional_member(in, name::kNotice) != nullptr) r.notice = Seconds(number(in, name::kNotice));
  if (optional_member(in, name::kTasks) != nullptr) {
    const Json& tasks = list(in, name::kTasks);
    r.tasks.reserve(tasks.size());
    for (const auto& t : tasks) {
      TaskReport task;
      task.task = decode_task(text(t, name::kTask));
      task.attempt = integer(t, name::kAttempt);
      task.state = decode_state(text(t, name::kState));
      if (task.state == TaskState::Exited) {
        task.cause = decode_cause(t);
        task.saved = flag_or(t, name::kSaved, false);
      }
      r.tasks.push_back(std::move(task));
    }
  }
  return r;
}

std::string encode_commands(std::uint64_t token, const std::vector<Command>& commands) {
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
