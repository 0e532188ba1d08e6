#pragma once
/// @file
/// Optional features, enabled by a features file (TOML); see deploy/features.toml.

#include <string>
#include <string_view>

#include "base/settings.hpp"

namespace asterstair {

/// The enabled features. Without a features file all are off.
struct Features {
  /// Whether machines are provisioned under a lease and with an operation log; see
  /// docs/design/provisioning.md.
  bool durable_provisioning = false;
};

/// Parses the text of a features file. Throws a SettingsError that names the field in one
/// line.
Features parse_features(std::string_view toml_text);

/// Reads and parses a features file. Throws SettingsError. `main` calls it.
Features load_features(const std::string& path);

}  // namespace asterstair
