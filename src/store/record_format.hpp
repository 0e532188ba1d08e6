#pragma once
/// @file
/// Versions of the format of stored records.

#include <cstdint>

#include "wire/json.hpp"

namespace asterstair::store {

/// Newest version of the format of records that this program reads, and the one that it writes.
inline constexpr std::uint64_t kRecordFormat = 1;

/// Throws wire::DecodeError if a record names a newer format than kRecordFormat. Such a record is
/// not read: what it says may bind in ways that this program does not know. A record that names no
/// format has the first one.
void require_known_format(const wire::Json& value);

}  // namespace asterstair::store
