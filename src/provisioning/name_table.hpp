#pragma once
/// @file
/// Look-up between enum values and the names that stored records use for them.

#include <array>
#include <optional>
#include <string_view>
#include <utility>

namespace asterstair::provisioning {

/// One name for each value of an enum.
template <typename Enum, std::size_t Size>
using NameTable = std::array<std::pair<Enum, std::string_view>, Size>;

/// Returns the name of `value`, or an empty string if the table lacks it.
template <typename Enum, std::size_t Size>
std::string_view name_of(const NameTable<Enum, Size>& table, Enum value) {
  for (const auto& [candidate, name] : table) {
    if (candidate == value) return name;
  }
  return "";
}

/// Returns the value called `name`, or nothing if no value is.
template <typename Enum, std::size_t Size>
std::optional<Enum> value_of(const NameTable<Enum, Size>& table, std::string_view name) {
  for (const auto& [value, candidate] : table) {
    if (candidate == name) return value;
  }
  return std::nullopt;
}

}  // namespace asterstair::provisioning
