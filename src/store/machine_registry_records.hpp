#pragma once
/// @file
/// Records of the machine registry: the names of all machines that may have tasks, in chunks that
/// fit into a value. A new leader waits for a heartbeat or the lease expiry of each machine.

#include <cstddef>
#include <string>
#include <vector>

#include "wire/json.hpp"

namespace asterstair::store {

/// Prefix of the keys of all chunks of the machine registry.
inline constexpr const char* kMachineRegistryPrefix = "roster/";

/// Returns the key of a chunk of the machine registry.
std::string machine_registry_key(std::size_t chunk);

/// Encodes a chunk of the machine registry.
wire::Json encode_machine_registry(const std::vector<std::string>& machines);

/// Decodes a chunk of the machine registry. Throws wire::DecodeError; ignores elements that are not
/// strings.
std::vector<std::string> decode_machine_registry(const wire::Json& value);

}  // namespace asterstair::store
