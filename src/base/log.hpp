#pragma once
// Logging to standard error at the level that LOG_LEVEL names.

#include <spdlog/spdlog.h>

namespace asterstair::log {

void init(const std::string& node);

template <typename... A>
void error(fmt::format_string<A...> f, A&&... a) {
  spdlog::error(f, std::forward<A>(a)...);
}
template <typename... A>
void info(fmt::format_string<A...> f, A&&... a) {
  spdlog::info(f, std::forward<A>(a)...);
}
template <typename... A>
void debug(fmt::format_string<A...> f, A&&... a) {
  spdlog::debug(f, std::forward<A>(a)...);
}

}  // namespace asterstair::log
