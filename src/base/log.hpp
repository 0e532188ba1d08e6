#pragma once
/// @file
/// Logging to standard error. Every package logs through it.

#include <spdlog/spdlog.h>

#include <string>
#include <utility>

namespace asterstair::log {

/// Sets up logging. `main` calls it once, before anything is logged.
///
/// The environment variable LOG_LEVEL names the level: `error`, `info` or `debug`. Any other value,
/// and none, means `info`.
/// @param node  the node's name, which stands in each line
void init(const std::string& node);

/// Logs a failure that needs attention.
template <typename... Args>
void error(fmt::format_string<Args...> format, Args&&... args) {
  spdlog::error(format, std::forward<Args>(args)...);
}

/// Logs an event that operators follow; docs/operations/README.md lists them.
template <typename... Args>
void info(fmt::format_string<Args...> format, Args&&... args) {
  spdlog::info(format, std::forward<Args>(args)...);
}

/// Logs a detail for developers.
template <typename... Args>
void debug(fmt::format_string<Args...> format, Args&&... args) {
  spdlog::debug(format, std::forward<Args>(args)...);
}

}  // namespace asterstair::log
