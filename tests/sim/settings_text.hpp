#pragma once

#include <string>

#include "sim/timing.hpp"

namespace sim {

/// The text of the settings file of controller `node`, one of `nodes` controllers, in a Scenario.
std::string settings_text(int node, int nodes = 3, const Timing& timing = {});

}  // namespace sim
