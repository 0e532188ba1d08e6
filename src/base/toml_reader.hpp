#pragma once
/// @file
/// Typed access to the fields of a TOML table. Only the settings parser uses it.

#include <toml++/toml.h>

#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/time.hpp"

namespace asterstair {

/// A section of the settings file with its path in the file, such as `cluster.workers.`.
///
/// Unless stated otherwise, a getter throws a SettingsError with the full path of the field if the
/// field is absent or invalid.
class TomlReader {
 public:
  /// @param path  path of the table in the file: empty, or with a dot at its end
  TomlReader(const toml::table& table, std::string path) : table_(table), path_(std::move(path)) {}

  /// Returns whether the field exists.
  bool has(std::string_view key) const { return table_.contains(key); }

  /// Returns a non-empty string.
  std::string text(std::string_view key) const;

  /// Returns a string; empty if the field is absent or not a string.
  std::string optional_text(std::string_view key) const;

  /// Returns a number of at least `minimum` and at most 1e9.
  double number(std::string_view key, double minimum) const;

  /// Returns a number of at least 0 and at most 1e9; 0 if the field is absent.
  double optional_number(std::string_view key) const;

  /// Returns a time in seconds of at least `minimum`.
  Duration time(std::string_view key, double minimum) const;

  /// Returns an address: host, colon, port.
  std::string address(std::string_view key) const;

  /// Returns a required section.
  TomlReader section(std::string_view key) const;

  /// Returns a section, or nullopt if the field is absent or not a section.
  std::optional<TomlReader> optional_section(std::string_view key) const;

  /// Returns a non-empty list of names.
  std::vector<std::string> names(std::string_view key) const;

  /// Calls `action` for each table in a list of tables. Does nothing if the list is absent.
  void for_each_table(std::string_view key,
                      const std::function<void(const TomlReader&)>& action) const;

 private:
  [[noreturn]] void fail(std::string_view key, const std::string& problem) const;
  std::string path_of(std::string_view key) const { return path_ + std::string(key); }

  const toml::table& table_;
  std::string path_;
};

/// Throws the SettingsError "settings: <field>: <problem>".
[[noreturn]] void fail_setting(const std::string& field, const std::string& problem);

}  // namespace asterstair
