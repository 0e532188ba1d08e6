#pragma once

#include <string>

namespace sim {

/// The value of a parameter in a request's target; empty if the target does not name it.
std::string query_parameter(const std::string& target, const std::string& name);

}  // namespace sim
