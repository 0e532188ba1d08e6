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

/// A section of the settings file with its place in the file, such as `cluster.workers.`.
///
/// Every getter throws SettingsError, which names the field in full, if the field is absent or
/// wrong.
class TomlReader {
 public:
  /// @param path  place of the table in the file: empty, or with a dot at its end
  TomlReader(const toml::table& table, std::string path) : table_(table), path_(std::move(path)) {}

  /// Whether the field is there.
  bool has(std::string_view key) const { return table_.contains(key); }

  /// Returns a string that must not be empty.
  std::string text(std::string_view key) const;

  /// Returns a string; empty if it is absent or no string.
  std::string optional_text(std::string_view key) const;

  /// Returns a number of at least `least` and at most 1e9.
  double number(std::string_view key, double least) const;

  /// Returns a number of at least 0; 0 if it is absent.
  double optional_number(std::string_view key) const;

  /// Returns a time in seconds of at least `least`.
  Duration time(std::string_view key, double least) const;

  /// Returns an address: host, colon, port.
  std::string address(std::string_view key) const;

  /// Returns a section that must be there.
  TomlReader section(std::string_view key) const;

  /// Returns a section; none if it is absent or no section.
  std::optional<TomlReader> optional_section(std::string_view key) const;

  /// Returns a list of names, which must not be empty.
  std::vector<std::string> names(std::string_view key) const;

  /// Calls `action` for each table in a list of tables, which may be absent.
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
