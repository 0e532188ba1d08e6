#pragma once

#include <string>

#include "sim/timing.hpp"

namespace sim {

/// Maximum size of a value in the state service, in KiB, unless a test sets another.
constexpr double kDefaultValueKb = 8;

/// The text of the settings file of controller `node`, one of `nodes` controllers, in a Scenario.
std::string settings_text(int node, int nodes = 3, const Timing& timing = {},
                          double value_kb = kDefaultValueKb);

}  // namespace sim
