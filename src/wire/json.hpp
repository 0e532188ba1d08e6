#pragma once
/// @file
/// Reads untrusted JSON. A required member that is absent, null or of the wrong type throws
/// DecodeError; no input can terminate the process.

#include <cstdint>
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <string>
#include <string_view>

namespace asterstair::wire {

/// JSON value. Objects keep their members sorted by key.
using Json = nlohmann::json;

/// Reports a message or record that cannot be decoded.
///
/// The text is part of the interface: responses to users and workers contain it, and tests check
/// it.
class DecodeError : public std::runtime_error {
 public:
  /// @param message  description of the error, with the field's name
  /// @param field    name of the invalid field; empty: the message as a whole is invalid
  explicit DecodeError(const std::string& message, std::string field = {})
      : std::runtime_error(message), field_(std::move(field)) {}

  /// Returns the name of the invalid field on the wire; empty if the message as a whole is
  /// invalid.
  const std::string& field() const { return field_; }

 private:
  std::string field_;
};

/// Throws a DecodeError with the text "<field> <problem>".
[[noreturn]] void fail_field(const char* field, std::string_view problem);

/// Parses a body. Throws DecodeError if it is not a JSON object.
Json parse(const std::string& body);

/// Serializes JSON without whitespace. Replaces bytes that are not valid UTF-8 instead of throwing,
/// so that a malformed name from outside cannot prevent a response.
std::string dump(const Json& json);

/// Returns the member `key` of an object. Throws DecodeError if it is absent or null.
const Json& member(const Json& object, const char* key);

/// Returns the member `key` of an object; nullptr if it is absent or null.
const Json* optional_member(const Json& object, const char* key);

/// Returns a member that must be a string. Throws DecodeError.
const std::string& text(const Json& object, const char* key);

/// Returns a member that must be a finite, non-negative number. Throws DecodeError.
double number(const Json& object, const char* key);

/// Like number(), but returns `fallback` if the member is absent or null.
double number_or(const Json& object, const char* key, double fallback);

/// Returns a member that must be a non-negative integer. Throws DecodeError.
std::uint64_t integer(const Json& object, const char* key);

/// Returns a member that must be a Boolean. Throws DecodeError.
bool flag(const Json& object, const char* key);

/// Like flag(), but returns `fallback` if the member is absent or null.
bool flag_or(const Json& object, const char* key, bool fallback);

/// Returns a member that must be an array. Throws DecodeError.
const Json& list(const Json& object, const char* key);

}  // namespace asterstair::wire
