#pragma once
// What is switched on by a features file (TOML); see deploy/features.toml.

#include <string>
#include <string_view>

#include "base/settings.hpp"

namespace asterstair {

struct Features {
  // A lease and an operation log for provisioning machines, see docs/design/provisioning.md.
  // docs/design/provisioning.md.
  bool durable_provisioning = false;
};

// Throw SettingsError, which names the field in one line.
Features parse_features(std::string_view toml_text);
Features load_features(const std::string& path);

}  // namespace asterstair
