#pragma once
/// @file
/// Logging to standard error. All packages log through these functions.

#include <spdlog/spdlog.h>

#include <string>
#include <utility>

namespace asterstair::log {

/// Initializes logging. `main` calls it once, before anything is logged.
///
/// The environment variable LOG_LEVEL names the level: `error`, `info` or `debug`. If it is unset
/// or has another value, the level is `info`.
/// @param node  the node's name, which appears in every line
void init(const std::string& node);

/// Logs a failure that needs attention.
template <typename... Args>
void error(fmt::format_string<Args...> format, Args&&... args) {
  spdlog::error(format, std::forward<Args>(args)...);
}

/// Logs an event that matters to operators; docs/operations/README.md lists these events.
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
