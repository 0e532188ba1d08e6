#include "node/heartbeat_endpoint.hpp"

#include <algorithm>

#include "base/log.hpp"
#include "frontend/responses.hpp"
#include "wire/worker.hpp"

namespace asterstair {
namespace {

// If the state service fails for this node but still answers a peer, the peer's gossip shows so
// within this time: StoreProbe sends a request at least once a second, and a gossip message is sent
// every second.
constexpr auto kPeerDetectionDelay = 2200ms;
// The state service counts as failing if it has not answered for longer than this.
constexpr auto kStoreResponseTimeout = 2500ms;

using frontend::error_response;

HttpResponse to_http(const leader::HeartbeatResponse& response) {
  if (response.outcome == leader::HeartbeatResponse::Outcome::ResponsesLost) {
    return error_response(503, "answers are lost");
  }
  return {200, wire::encode_commands(response.token, response.commands)};
}

}  // namespace

HeartbeatEndpoint::HeartbeatEndpoint(Runtime& runtime, const Settings& settings,
                                     const store::Store& store, const leader::Election& election,
                                     const TermRunner& terms, PeerGossip& gossip)
    : runtime_(runtime),
      settings_(settings),
      store_(store),
      election_(election),
      terms_(terms),
      gossip_(gossip) {}

HttpResponse HeartbeatEndpoint::answer(std::string body) {
  gossip_.on_heartbeat();
  if (!election_.leading()) return not_leader_response();
  auto* term = terms_.term();
  // A valid lease is not enough: after an outage a renewal may succeed before the watch has
  // reported the jobs that were cancelled during the outage.
  if (!election_.lease_valid() || term == nullptr || !term->view_is_fresh()) {
    return error_response(503, "not entitled to give commands at present");
  }
  Heartbeat heartbeat;
  try {
    heartbeat = wire::decode_heartbeat(std::move(body));
  } catch (const wire::DecodeError& error) {
    log::error("malformed heartbeat: {}", error.what());
    return error_response(400, error.what());
  }
  if (heartbeat.token > election_.token()) {
    return error_response(503, "a newer leader has been seen");
  }
  term->suspend_launches(may_miss_cancellations());
  return to_http(term->on_heartbeat(heartbeat));
}

HttpResponse HeartbeatEndpoint::not_leader_response() const {
  std::string leader = election_.leader();
  if (leader.empty()) leader = gossip_.announced_leader();
  // An unreachable leader is not named: each attempt to reach it costs a worker seconds of its
  // lease. A worker that gets no name tries the nodes in turn and finds the next leader.
  if (gossip_.peers().is_unreachable(leader, runtime_.now())) leader.clear();
  return {421, wire::encode_not_leader(leader == settings_.node ? "" : leader)};
}

// Whether other nodes may confirm cancellations that this node cannot see: its requests to the
// state service fail or have had no answer for long, and not every peer has reported the same. In
// an outage that affects all nodes no cancellation can be confirmed, so tasks are still started.
bool HeartbeatEndpoint::may_miss_cancellations() const {
  const auto now = runtime_.now();
  auto failing_since = store_.failing_since();
  if (failing_since == TimePoint{} && now - store_.last_answer() > kStoreResponseTimeout) {
    failing_since = store_.last_answer();
  }
  if (failing_since == TimePoint{}) return false;
  const auto& peers = gossip_.peers().statuses();
  return std::any_of(peers.begin(), peers.end(), [&](const auto& entry) {
    const PeerStatus& peer = entry.second;
    return !peer.reachable(now) || peer.last_seen < failing_since + kPeerDetectionDelay ||
           peer.store_last_answer > failing_since;
  });
}

}  // namespace asterstair
