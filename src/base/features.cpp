#include "base/features.hpp"

#include <toml++/toml.h>

#include <fstream>
#include <map>
#include <sstream>

namespace asterstair {
namespace {

[[noreturn]] void fail(const std::string& field, const std::string& why) {
  throw SettingsError("features: " + field + ": " + why);
}

toml::table parse(std::string_view toml_text) {
  try {
    return toml::parse(toml_text);
  } catch (const toml::parse_error& e) {
    std::ostringstream out;
    out << "line " << e.source().begin.line;
    fail(out.str(), std::string(e.description()));
  }
}

}  // namespace

Features parse_features(std::string_view toml_text) {
  const toml::table root = parse(toml_text);
  Features out;
  const std::map<std::string, bool*, std::less<>> known{
      {"durable_provisioning", &out.durable_provisioning},
      {"machine_duties", &out.durable_provisioning},  // its name before 0.2, accepted for good
  };
  for (const auto& [key, value] : root) {
    if (key.str() != "features") fail(std::string(key.str()), "there is no such section");
  }
  const auto* features = root["features"].as_table();
  if (features == nullptr) fail("features", "this section is missing");
  for (const auto& [key, value] : *features) {
    const std::string field = "features." + std::string(key.str());
    const auto feature = known.find(key.str());
    if (feature == known.end()) fail(field, "there is no such feature");
    const auto on = value.value_exact<bool>();
    if (!on) fail(field, "true or false is needed");
    *feature->second = *on;
  }
  return out;
}

Features load_features(const std::string& path) {
  std::ifstream in(path);
  if (!in) fail(path, "the file cannot be read");
  std::ostringstream text;
  text << in.rdbuf();
  return parse_features(text.str());
}

}  // namespace asterstair
