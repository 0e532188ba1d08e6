#pragma once
/// @file
/// Optional features, switched on by a features file (TOML); see deploy/features.toml.

#include <string>
#include <string_view>

#include "base/settings.hpp"

namespace asterstair {

/// What is switched on. Without a features file everything is off.
struct Features {
  /// A lease and an operation log for the provisioning of machines; see
  /// docs/design/provisioning.md.
  bool durable_provisioning = false;
};

/// Parses the text of a features file. Throws SettingsError, which names the field in one line.
Features parse_features(std::string_view toml_text);

/// Reads and parses a features file. Throws SettingsError. `main` calls it.
Features load_features(const std::string& path);

}  // namespace asterstair
