#pragma once
/// @file
/// Conversion between enum values and their names in stored records.

#include <array>
#include <optional>
#include <string_view>
#include <utility>

namespace asterstair::provisioning {

/// One name for each value of an enum.
template <typename Enum, std::size_t Size>
using NameTable = std::array<std::pair<Enum, std::string_view>, Size>;

/// Returns the name of `value`, or an empty string if the table does not contain it.
template <typename Enum, std::size_t Size>
std::string_view name_of(const NameTable<Enum, Size>& table, Enum value) {
  for (const auto& [candidate, name] : table) {
    if (candidate == value) return name;
  }
  return "";
}

/// Returns the value with this name, or nothing if there is none.
template <typename Enum, std::size_t Size>
std::optional<Enum> value_of(const NameTable<Enum, Size>& table, std::string_view name) {
  for (const auto& [value, candidate] : table) {
    if (candidate == name) return value;
  }
  return std::nullopt;
}

}  // namespace asterstair::provisioning
