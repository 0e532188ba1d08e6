#include "base/log.hpp"

#include <spdlog/sinks/stdout_sinks.h>

#include <cstdlib>
#include <string_view>

namespace asterstair::log {
namespace {

spdlog::level::level_enum level_from_environment() {
  const char* variable = std::getenv("LOG_LEVEL");
  const std::string_view level = variable != nullptr ? variable : "info";
  if (level == "error") return spdlog::level::err;
  if (level == "debug") return spdlog::level::debug;
  return spdlog::level::info;
}

}  // namespace

void init(const std::string& node) {
  auto logger = spdlog::stderr_logger_st("asterstair");
  logger->set_pattern("%Y-%m-%dT%H:%M:%S.%e %L " + node + " %v");
  logger->set_level(level_from_environment());
  logger->flush_on(spdlog::level::info);
  spdlog::set_default_logger(std::move(logger));
}

}  // namespace asterstair::log
