#pragma once
/// @file
/// Messages of the workers' protocol: heartbeats, the commands in the responses to them, and direct
/// commands. heartbeat_decoder.cpp decodes heartbeats, command_writer.cpp encodes commands.

#include <string>
#include <vector>

#include "base/model.hpp"
#include "wire/json.hpp"

namespace asterstair::wire {

/// Path for direct commands at a worker's address.
inline constexpr std::string_view kDirectCommandPath = "/orders";

/// Maximum size of the commands in one message, in bytes. PROTOCOL limits the length of a line in a
/// response; further commands are sent with a later message.
inline constexpr std::size_t kMaxCommandListBytes = std::size_t{60} * 1024;

/// Decodes a heartbeat, or the response to direct commands, which has the same format. Parses the
/// body in place. Throws DecodeError; its text is sent to the worker.
Heartbeat decode_heartbeat(std::string body);

/// Encodes the leader's response to a heartbeat. Drops commands from the end of the list that
/// exceed kMaxCommandListBytes.
/// @param token  fencing token of the leader's term
std::string encode_commands(std::uint64_t token, const std::vector<Command>& commands);

/// Encodes a request with direct commands, with the same size limit.
/// @param token  fencing token of the leader's term
/// @param epoch  epoch of the worker agent that the commands address
std::string encode_direct_commands(std::uint64_t token, std::uint64_t epoch,
                                   const std::vector<Command>& commands);

/// Encodes the response of a node that does not lead.
/// @param leader  name of the leader; empty: unknown
std::string encode_not_leader(const std::string& leader);

}  // namespace asterstair::wire
