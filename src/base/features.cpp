#include "base/features.hpp"

#include <map>

#include "base/toml_file.hpp"

namespace asterstair {
namespace {

[[noreturn]] void fail(const std::string& field, const std::string& problem) {
  throw SettingsError("features: " + field + ": " + problem);
}

void read_features(const toml::table& section, Features& features) {
  const std::map<std::string, bool*, std::less<>> known{
      {"durable_provisioning", &features.durable_provisioning},
      {"machine_duties", &features.durable_provisioning},  // name before 0.2; still accepted
  };
  for (const auto& [key, value] : section) {
    const std::string field = "features." + std::string(key.str());
    const auto feature = known.find(key.str());
    if (feature == known.end()) fail(field, "unknown feature");
    const auto on = value.value_exact<bool>();
    if (!on) fail(field, "must be true or false");
    *feature->second = *on;
  }
}

}  // namespace

Features parse_features(std::string_view toml_text) {
  const toml::table root = parse_toml(toml_text, "features");
  for (const auto& [key, value] : root) {
    if (key.str() != "features") fail(std::string(key.str()), "unknown section");
  }
  const auto* section = root["features"].as_table();
  if (section == nullptr) fail("features", "this section is missing");
  Features features;
  read_features(*section, features);
  return features;
}

Features load_features(const std::string& path) {
  const auto text = read_text_file(path);
  if (!text) fail(path, "the file cannot be read");
  return parse_features(*text);
}

}  // namespace asterstair
