#pragma once
/// @file
/// Version of the format of stored records.

#include <cstdint>
#include <string>

#include "wire/json.hpp"

namespace asterstair::store {

/// Newest format version that this program reads, and the version that it writes.
inline constexpr std::uint64_t kRecordFormat = 1;

/// Prefix of the keys of copies of records that could not be decoded and had to be replaced. For
/// administrators, who delete them; this program never reads them.
inline constexpr const char* kUnreadablePrefix = "unreadable/";

/// Returns the key of the copy of a record that could not be decoded.
std::string unreadable_copy_key(const std::string& key);

/// Throws wire::DecodeError if the format version of a record is newer than kRecordFormat. Such a
/// record must not be used: it may contain constraints that this program does not know. A record
/// without a version has format version 1.
void require_known_format(const wire::Json& value);

}  // namespace asterstair::store
