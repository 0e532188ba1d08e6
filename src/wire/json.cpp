#include "wire/json.hpp"

#include <cmath>

namespace asterstair::wire {

void fail_field(const char* field, std::string_view problem) {
  throw DecodeError(std::string(field) + " " + std::string(problem), field);
}

Json parse(const std::string& body) {
  constexpr bool kAllowExceptions = false;
  Json json = Json::parse(body, nullptr, kAllowExceptions);
  if (json.is_discarded()) throw DecodeError("the body is not JSON");
  if (!json.is_object()) throw DecodeError("the body is not a JSON object");
  return json;
}

std::string dump(const Json& json) {
  constexpr int kNoIndent = -1;
  constexpr bool kEnsureAscii = false;
  return json.dump(kNoIndent, ' ', kEnsureAscii, Json::error_handler_t::replace);
}

const Json* optional_member(const Json& object, const char* key) {
  const auto found = object.find(key);
  return found == object.end() || found->is_null() ? nullptr : &*found;
}

const Json& member(const Json& object, const char* key) {
  const Json* value = optional_member(object, key);
  if (value == nullptr) fail_field(key, "is missing");
  return *value;
}

const std::string& text(const Json& object, const char* key) {
  const Json& value = member(object, key);
  if (!value.is_string()) fail_field(key, "must be a string");
  return value.get_ref<const std::string&>();
}

double number(const Json& object, const char* key) {
  const Json& value = member(object, key);
  if (!value.is_number()) fail_field(key, "must be a number");
  const auto number = value.get<double>();
  if (!std::isfinite(number) || number < 0) fail_field(key, "must not be negative");
  return number;
}

double number_or(const Json& object, const char* key, double fallback) {
  return optional_member(object, key) == nullptr ? fallback : number(object, key);
}

std::uint64_t integer(const Json& object, const char* key) {
  const Json& value = member(object, key);
  if (!value.is_number_unsigned()) fail_field(key, "must be a whole number");
  return value.get<std::uint64_t>();
}

bool flag(const Json& object, const char* key) {
  const Json& value = member(object, key);
  if (!value.is_boolean()) fail_field(key, "must be true or false");
  return value.get<bool>();
}

bool flag_or(const Json& object, const char* key, bool fallback) {
  return optional_member(object, key) == nullptr ? fallback : flag(object, key);
}

const Json& list(const Json& object, const char* key) {
  const Json& value = member(object, key);
  if (!value.is_array()) fail_field(key, "must be a list");
  return value;
}

}  // namespace asterstair::wire
