#pragma once

#include <string>

namespace sim {

/// The value of a query parameter in a request's target; empty if the parameter is absent.
std::string query_parameter(const std::string& target, const std::string& name);

}  // namespace sim
