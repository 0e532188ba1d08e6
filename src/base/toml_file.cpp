#include "base/toml_file.hpp"

#include <fstream>
#include <sstream>

#include "base/settings.hpp"

namespace asterstair {

std::optional<std::string> read_text_file(const std::string& path) {
  std::ifstream file(path);
  if (!file) return std::nullopt;
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

toml::table parse_toml(std::string_view toml_text, std::string_view kind) {
  try {
    return toml::parse(toml_text);
  } catch (const toml::parse_error& error) {
    std::ostringstream message;
    message << kind << ": line " << error.source().begin.line << ": " << error.description();
    throw SettingsError(message.str());
  }
}

}  // namespace asterstair
