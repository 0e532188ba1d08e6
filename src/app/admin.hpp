#pragma once
/// @file
/// Admin commands on provisioning, which the program runs in place of serving. Used by main().

#include <string>

#include "base/settings.hpp"

namespace asterstair::app {

/// Runs the admin command ("show", "pause", "resume" or "hand-over") against the state service and
/// prints its outcome. Returns the status to exit with: 0, or 1 if the command failed.
int run_admin_command(const std::string& command, const Settings& settings);

}  // namespace asterstair::app
