// Encodes commands to workers, in responses to heartbeats and in direct requests.

#include <fmt/format.h>
#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>

#include <optional>

#include "wire/names.hpp"
#include "wire/worker.hpp"

namespace asterstair::wire {
namespace {

constexpr const char* kStart = "run";
constexpr const char* kStop = "kill";
constexpr const char* kAcknowledge = "clear";
// Upper bound of a command's encoded size, in bytes, without its job ID: field names, fixed values
// and numbers.
constexpr std::size_t kCommandOverhead = 140;

using Writer = rapidjson::Writer<rapidjson::StringBuffer>;

void write_text(Writer& writer, std::string_view text) {
  writer.String(text.data(), static_cast<rapidjson::SizeType>(text.size()));
}

void write_operation(Writer& writer, const Command& command) {
  writer.Key(name::kOp);
  switch (command.op) {
    case Command::Op::Start:
      writer.String(kStart);
      if (command.checkpoint_interval) {
        writer.Key(name::kInterval);
        writer.Double(command.checkpoint_interval->count());
      }
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
}

void write_command(Writer& writer, const Command& command) {
  writer.StartObject();
  write_operation(writer, command);
  writer.Key(name::kTask);
  write_text(writer, fmt::format("{}/{}", command.task.job, command.task.index));
  writer.Key(name::kAttempt);
  writer.Uint64(command.attempt);
  writer.EndObject();
}

// Drops commands from the end of the list that exceed the size limit.
void write_commands(Writer& writer, const std::vector<Command>& commands) {
  std::size_t bytes_left = kMaxCommandListBytes;
  writer.Key(name::kCommands);
  writer.StartArray();
  for (const auto& command : commands) {
    const std::size_t size = command.task.job.size() + kCommandOverhead;
    if (size > bytes_left) break;
    bytes_left -= size;
    write_command(writer, command);
  }
  writer.EndArray();
}

std::string encode_message(std::uint64_t token, std::optional<std::uint64_t> epoch,
                           const std::vector<Command>& commands) {
  rapidjson::StringBuffer buffer;
  Writer writer(buffer);
  writer.StartObject();
  writer.Key(name::kToken);
  writer.Uint64(token);
  if (epoch) {
    writer.Key(name::kEpoch);
    writer.Uint64(*epoch);
  }
  write_commands(writer, commands);
  writer.EndObject();
  return {buffer.GetString(), buffer.GetSize()};
}

}  // namespace

std::string encode_commands(std::uint64_t token, const std::vector<Command>& commands) {
  // Fast path: most responses contain no commands.
  if (commands.empty()) {
    return fmt::format(R"({{"{}":{},"{}":[]}})", name::kToken, token, name::kCommands);
  }
  return encode_message(token, std::nullopt, commands);
}

std::string encode_direct_commands(std::uint64_t token, std::uint64_t epoch,
                                   const std::vector<Command>& commands) {
  return encode_message(token, epoch, commands);
}

std::string encode_not_leader(const std::string& leader) {
  Json response = Json::object();
  if (!leader.empty()) response[name::kLeader] = leader;
  return dump(response);
}

}  // namespace asterstair::wire
