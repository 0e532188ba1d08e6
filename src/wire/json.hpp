#pragma once
/// @file
/// Reading JSON that came from outside. Whatever is absent, null or of the wrong type throws
/// DecodeError; nothing that is read can end the program.

#include <cstdint>
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <string>
#include <string_view>

namespace asterstair::wire {

/// JSON value. Objects keep their members sorted by key.
using Json = nlohmann::json;

/// A message or record that cannot be decoded.
///
/// The text is part of the interface: answers to users and workers carry it, and tests hold it.
class DecodeError : public std::runtime_error {
 public:
  /// @param message  what is wrong, with the field's name
  /// @param field    the field that is wrong; empty: the message as a whole
  explicit DecodeError(const std::string& message, std::string field = {})
      : std::runtime_error(message), field_(std::move(field)) {}

  /// Name of the field that is wrong, as it stands in the message; empty if it is none in
  /// particular.
  const std::string& field() const { return field_; }

 private:
  std::string field_;
};

/// Throws the DecodeError "<field> <problem>".
[[noreturn]] void fail_field(const char* field, std::string_view problem);

/// Parses a body, which must be a JSON object. Throws DecodeError.
Json parse(const std::string& body);

/// Writes JSON without spaces. Replaces bytes that are not UTF-8, instead of throwing: a name read
/// from outside must not prevent an answer.
std::string dump(const Json& json);

/// Returns the member `key` of an object. Throws DecodeError if it is absent or null.
const Json& member(const Json& object, const char* key);

/// Returns the member `key` of an object; nullptr if it is absent or null.
const Json* optional_member(const Json& object, const char* key);

/// Returns a member that must be a string. Throws DecodeError.
const std::string& text(const Json& object, const char* key);

/// Returns a member that must be a finite number and not negative. Throws DecodeError.
double number(const Json& object, const char* key);

/// As number(), but `fallback` if the member is absent or null.
double number_or(const Json& object, const char* key, double fallback);

/// Returns a member that must be a whole number and not negative. Throws DecodeError.
std::uint64_t integer(const Json& object, const char* key);

/// Returns a member that must be true or false. Throws DecodeError.
bool flag(const Json& object, const char* key);

/// As flag(), but `fallback` if the member is absent or null.
bool flag_or(const Json& object, const char* key, bool fallback);

/// Returns a member that must be a list. Throws DecodeError.
const Json& list(const Json& object, const char* key);

}  // namespace asterstair::wire
