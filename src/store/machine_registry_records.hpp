#pragma once
/// @file
/// Records of the machine registry: the names of all machines that may have tasks, split into
/// records that fit into a value. A new leader waits for a heartbeat or the lease expiry of each
/// machine.
///
/// A record is identified by its key alone, never by its position in a list. There are two kinds of
/// keys:
///
///   roster/<n>        numbered; used while kMaxNumberedRegistryRecords are enough
///   roster/-<n>       fixed-width, with leading zeros; used by larger registries for all records
///
/// Versions that know numbered keys only take a record's position in key order for its number. In
/// key order "roster/10" comes before "roster/2", so with more than ten records they write the
/// content of one record over another. They list fixed-width records too, but never write them.

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

#include "wire/json.hpp"

namespace asterstair::store {

/// Prefix of the keys of all records of the machine registry.
inline constexpr const char* kMachineRegistryPrefix = "roster/";

/// Maximum number of numbered records: as long as each number has one digit, the order of the keys
/// is the order of the numbers.
inline constexpr std::size_t kMaxNumberedRegistryRecords = 10;

/// Returns the numbered key of a record of the machine registry.
std::string machine_registry_key(std::size_t number);

/// Returns the fixed-width key of a record of the machine registry.
std::string fixed_width_machine_registry_key(std::size_t number);

/// Returns the number in a numbered key; none if it is another key.
std::optional<std::size_t> parse_machine_registry_key(const std::string& key);

/// Encodes a record of the machine registry.
wire::Json encode_machine_registry(const std::vector<std::string>& machines);

/// Decodes a record of the machine registry. Throws wire::DecodeError, also for a newer format and
/// if any element is not a name: an incomplete list must not pass for a complete one.
std::vector<std::string> decode_machine_registry(const wire::Json& value);

}  // namespace asterstair::store
