#pragma once
/// @file
/// Reads TOML files for settings and features. Only package base includes this.

#include <toml++/toml.h>

#include <optional>
#include <string>
#include <string_view>

namespace asterstair {

/// Returns the text of a file, or nullopt if it cannot be opened.
std::optional<std::string> read_text_file(const std::string& path);

/// Parses TOML. Throws SettingsError "<kind>: line <n>: <problem>".
/// @param kind  kind of file: `settings` or `features`
toml::table parse_toml(std::string_view toml_text, std::string_view kind);

}  // namespace asterstair
