#pragma once
/// @file
/// Administrators' commands for provisioning, which the program runs instead of a node. Used by
/// main().

#include <string>

#include "base/settings.hpp"

namespace asterstair::app {

/// Runs the administrators' command ("show", "pause", "resume" or "hand-over") against the state
/// service and prints its output. Returns the exit status: 0 on success, 1 on failure.
int run_admin_command(const std::string& command, const Settings& settings);

}  // namespace asterstair::app
