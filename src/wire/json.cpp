#include "wire/json.hpp"

#include <cmath>

namespace asterstair::wire {

Json parse(const std::string& body) {
  Json out = Json::parse(body, nullptr, false);
  if (out.is_discarded()) throw DecodeError("the body is not JSON");
  if (!out.is_object()) throw DecodeError("the body is not a JSON object");
  return out;
}

std::string dump(const Json& json) {
  return json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

const Json* optional_member(const Json& object, const char* key) {
  const auto it = object.find(key);
  return it == object.end() || it->is_null() ? nullptr : &*it;
}

const Json& member(const Json& object, const char* key) {
  const Json* v = optional_member(object, key);
  if (v == nullptr) throw DecodeError(std::string(key) + " is missing");
  return *v;
}

const std::string& text(const Json& object, const char* key) {
  const Json& v = member(object, key);
  if (!v.is_string()) throw DecodeError(std::string(key) + " must be a string");
  return v.get_ref<const std::string&>();
}

double number(const Json& object, const char* key) {
  const Json& v = member(object, key);
  if (!v.is_number()) throw DecodeError(std::string(key) + " must be a number");
  const double d = v.get<double>();
  if (!std::isfinite(d) || d < 0) throw DecodeError(std::string(key) + " must not be negative");
  return d;
}

double number_or(const Json& object, const char* key, double fallback) {
  return optional_member(object, key) == nullptr ? fallback : number(object, key);
}

std::uint64_t integer(const Json& object, const char* key) {
  const Json& v = member(object, key);
  if (v.is_number_unsigned()) return v.get<std::uint64_t>();
  throw DecodeError(std::string(key) + " must be a whole number");
}

bool flag(const Json& object, const char* key) {
  const Json& v = member(object, key);
  if (!v.is_boolean()) throw DecodeError(std::string(key) + " must be true or false");
  return v.get<bool>();
}

bool flag_or(const Json& object, const char* key, bool fallback) {
  return optional_member(object, key) == nullptr ? fallback : flag(object, key);
}

const Json& list(const Json& object, const char* key) {
  const Json& v = member(object, key);
  if (!v.is_array()) throw DecodeError(std::string(key) + " must be a list");
  return v;
}

}  // namespace asterstair::wire
