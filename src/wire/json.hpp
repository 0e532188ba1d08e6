#pragma once
// Reading JSON from outside: everything absent, null or of the wrong type is a DecodeError,
// never a crash.

#include <nlohmann/json.hpp>
#include <optional>
#include <stdexcept>
#include <string>

namespace asterstair::wire {

using Json = nlohmann::json;

struct DecodeError : std::runtime_error {
  using std::runtime_error::runtime_error;
};

Json parse(const std::string& body);
// Bytes that are not UTF-8 are replaced: a name read from outside must not stop an answer.
std::string dump(const Json& json);

const Json& member(const Json& object, const char* key);           // throws if absent or null
const Json* optional_member(const Json& object, const char* key);  // nullptr if absent or null
const std::string& text(const Json& object, const char* key);
double number(const Json& object, const char* key);  // finite and not negative
double number_or(const Json& object, const char* key, double fallback);
std::uint64_t integer(const Json& object, const char* key);
bool flag(const Json& object, const char* key);
bool flag_or(const Json& object, const char* key, bool fallback);
const Json& list(const Json& object, const char* key);

}  // namespace asterstair::wire
