#include "base/log.hpp"

#include <spdlog/sinks/stdout_sinks.h>

#include <cstdlib>

namespace asterstair::log {

void init(const std::string& node) {
  auto logger = spdlog::stderr_logger_st("asterstair");
  logger->set_pattern("%Y-%m-%dT%H:%M:%S.%e %L " + node + " %v");
  const char* level = std::getenv("LOG_LEVEL");
  const std::string name = level != nullptr ? level : "info";
  if (name == "error") {
    logger->set_level(spdlog::level::err);
  } else if (name == "debug") {
    logger->set_level(spdlog::level::debug);
  } else {
    logger->set_level(spdlog::level::info);
  }
  logger->flush_on(spdlog::level::info);
  spdlog::set_default_logger(std::move(logger));
}

}  // namespace asterstair::log
