#pragma once
// Classifies and alters requests and responses, for the hooks of Network.

#include <functional>
#include <string>
#include <string_view>

#include "sim/json.hpp"
#include "sim/network.hpp"

namespace sim {

/// Whether the request is a worker's heartbeat that this response accepts.
bool is_accepted_heartbeat(const HttpRequest& request, const HttpResponse& response);

/// Whether the request lists or watches keys with this prefix.
bool reads_prefix(const HttpRequest& request, std::string_view prefix);

/// Removes the commands for which `which` returns true from the response to a heartbeat.
void remove_commands(const HttpRequest& request, HttpResponse& response,
                     const std::function<bool(const Json&)>& which);

/// Drops the node's reads of the leader key. All its other requests are served, so that it does not
/// notice that it has a successor.
void drop_reads_of_the_leader_key(Network& network, const std::string& node);

/// Drops all commands that are sent to workers directly instead of in responses to heartbeats.
void drop_direct_commands(Network& network);

}  // namespace sim
