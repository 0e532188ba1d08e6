#pragma once

#include <nlohmann/json.hpp>

namespace sim {

/// The simulated services encode and decode the wire protocol themselves. They share no codec with
/// the library, so that an error in its codecs shows up in the tests.
using Json = nlohmann::json;

}  // namespace sim
