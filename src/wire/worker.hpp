#pragma once
/// @file
/// The workers' interface: heartbeats, the commands in the answers to them, and direct commands.
/// heartbeat_decoder.cpp reads it, command_writer.cpp writes it.

#include <string>
#include <vector>

#include "base/model.hpp"
#include "wire/json.hpp"

namespace asterstair::wire {

/// Path of direct commands at a worker's address.
inline constexpr std::string_view kDirectPath = "/orders";

/// Most bytes of commands in one message. PROTOCOL bounds a line of an answer; commands beyond it
/// wait for the next.
inline constexpr std::size_t kLongestAnswer = std::size_t{60} * 1024;

/// Decodes a heartbeat, or the answer to direct commands, which has the same format. Parses the
/// body in place. Throws DecodeError, whose text is sent to the worker.
Heartbeat decode_heartbeat(std::string body);

/// Encodes the leader's answer to a heartbeat. Commands that would make it longer than
/// kLongestAnswer are left out, from the end.
/// @param token  fencing token of the leader's term
std::string encode_commands(std::uint64_t token, const std::vector<Command>& commands);

/// Encodes a request with direct commands, with the same bound.
/// @param epoch  epoch of the worker's agent that the commands are meant for
std::string encode_direct(std::uint64_t token, std::uint64_t epoch,
                          const std::vector<Command>& commands);

/// Encodes the answer of a node that does not lead.
/// @param leader  name of the leader; empty: unknown
std::string encode_not_leader(const std::string& leader);

}  // namespace asterstair::wire
