#pragma once

#include <string>

#include "sim/timing.hpp"

namespace sim {

/// The settings file of one of `nodes` controllers in a Scenario.
std::string settings_text(int node, int nodes = 3, const Timing& timing = {});

}  // namespace sim
