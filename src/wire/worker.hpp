#pragma once
// The workers' interface: reports, the commands in their answers, direct commands.

#include <string>
#include <vector>

#include "base/model.hpp"
#include "wire/json.hpp"

namespace asterstair::wire {

inline constexpr std::string_view kDirectPath = "/orders";
// A line of an answer may not exceed this (PROTOCOL); commands beyond it wait for the next.
inline constexpr std::size_t kLongestAnswer = std::size_t{60} * 1024;

// Parses the body in place; throws DecodeError.
Heartbeat decode_heartbeat(std::string body);
// Commands that would make the answer too long are left out, from the end.
std::string encode_commands(std::uint64_t token, const std::vector<Command>& commands);
std::string encode_direct(std::uint64_t token, std::uint64_t epoch,
                          const std::vector<Command>& commands);
std::string encode_not_leader(const std::string& leader);  // empty: unknown

}  // namespace asterstair::wire
