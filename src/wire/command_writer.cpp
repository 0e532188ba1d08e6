// Writes the commands to workers, in answers to heartbeats and in direct requests.

#include <fmt/format.h>
#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>

#include "wire/names.hpp"
#include "wire/worker.hpp"

namespace asterstair::wire {
namespace {

constexpr const char* kStart = "run";
constexpr const char* kStop = "kill";
constexpr const char* kAcknowledge = "clear";
// A command's fixed words and numbers, at the most.
constexpr std::size_t kCommandOverhead = 140;

using Writer = rapidjson::Writer<rapidjson::StringBuffer>;

void write_text(Writer& writer, std::string_view text) {
  writer.String(text.data(), static_cast<rapidjson::SizeType>(text.size()));
}

void write_command(Writer& writer, const Command& command) {
  writer.StartObject();
  writer.Key(name::kOp);
  switch (command.op) {
    case Command::Op::Start:
      writer.String(kStart);
      break;
    case Command::Op::Stop:
      writer.String(kStop);
      writer.Key(name::kGrace);
      writer.Double(command.grace.count());
      break;
    case Command::Op::Acknowledge:
      writer.String(kAcknowledge);
      break;
  }
  if (command.op == Command::Op::Start && command.interval) {
    writer.Key(name::kInterval);
    writer.Double(command.interval->count());
  }
  writer.Key(name::kTask);
  write_text(writer, fmt::format("{}/{}", command.task.job, command.task.index));
  writer.Key(name::kAttempt);
  writer.Uint64(command.attempt);
  writer.EndObject();
}

void write_commands(Writer& writer, const std::vector<Command>& commands, std::size_t room) {
  writer.Key(name::kCommands);
  writer.StartArray();
  for (const auto& command : commands) {
    const std::size_t size = command.task.job.size() + kCommandOverhead;
    if (size > room) break;
    room -= size;
    write_command(writer, command);
  }
  writer.EndArray();
}

std::string text_of(const rapidjson::StringBuffer& buffer) {
  return {buffer.GetString(), buffer.GetSize()};
}

}  // namespace

std::string encode_commands(std::uint64_t token, const std::vector<Command>& commands) {
  // Most answers hold no command.
  if (commands.empty()) {
    return fmt::format(R"({{"{}":{},"{}":[]}})", name::kToken, token, name::kCommands);
  }
  rapidjson::StringBuffer buffer;
  Writer writer(buffer);
  writer.StartObject();
  writer.Key(name::kToken);
  writer.Uint64(token);
  write_commands(writer, commands, kLongestAnswer);
  writer.EndObject();
  return text_of(buffer);
}

std::string encode_direct(std::uint64_t token, std::uint64_t epoch,
                          const std::vector<Command>& commands) {
  rapidjson::StringBuffer buffer;
  Writer writer(buffer);
  writer.StartObject();
  writer.Key(name::kToken);
  writer.Uint64(token);
  writer.Key(name::kEpoch);
  writer.Uint64(epoch);
  write_commands(writer, commands, kLongestAnswer);
  writer.EndObject();
  return text_of(buffer);
}

std::string encode_not_leader(const std::string& leader) {
  Json out = Json::object();
  if (!leader.empty()) out[name::kLeader] = leader;
  return dump(out);
}

}  // namespace asterstair::wire
