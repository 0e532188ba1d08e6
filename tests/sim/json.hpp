#pragma once

#include <nlohmann/json.hpp>

namespace sim {

/// The stand-ins speak the wire protocol by themselves and share no codec with the library.
using Json = nlohmann::json;

}  // namespace sim
