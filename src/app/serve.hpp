#pragma once
/// @file
/// Runs a node with its event loop and HTTP server. Used by main().

#include "base/features.hpp"
#include "base/settings.hpp"

namespace asterstair::app {

/// Runs a node until the process is killed. Throws std::runtime_error if the node cannot listen on
/// one of its addresses.
void serve(const Settings& settings, const Features& features);

}  // namespace asterstair::app
