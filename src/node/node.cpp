#include "node/node.hpp"

namespace asterstair {
namespace {

// Interval of the periodic gossip messages to each peer. The timeouts of PeerTable,
// LeadershipMonitor and HeartbeatEndpoint are derived from it.
constexpr auto kGossipInterval = 1s;

}  // namespace

// The callbacks refer to members that are constructed later. None runs before start().
Node::Node(Runtime& runtime, Settings settings, const Features& features)
    : runtime_(runtime),
      settings_(std::move(settings)),
      store_(runtime_, settings_),
      cloud_(runtime_, settings_),
      frontend_(runtime_, store_, settings_, catalog_,
                [this](const std::string& job) { gossip_.announce_cancellation(job); }),
      election_(runtime_, store_, settings_,
                {[this](std::uint64_t) { on_elected(); }, [this] { terms_.end(); }}),
      provisioning_(runtime_, store_, cloud_, settings_, election_, features.durable_provisioning,
                    [this] { election_.step_down(); }),
      terms_(runtime_, store_, cloud_, settings_, catalog_, election_, provisioning_),
      gossip_(runtime_, settings_, store_, election_, terms_, frontend_),
      leadership_monitor_(runtime_, store_, election_, terms_, gossip_.peers()),
      catalog_refresher_(runtime_, store_, cloud_, settings_, catalog_),
      store_probe_(runtime_, store_),
      heartbeats_(runtime_, settings_, store_, election_, terms_, gossip_),
      router_(runtime_, store_, catalog_, gossip_.peers(), frontend_, heartbeats_) {}

void Node::start() {
  election_.start();
  catalog_refresher_.start();
  gossip_round();
  store_probe_.start();
  leadership_monitor_.start();
}

void Node::on_elected() {
  terms_.begin();
  gossip_.announce_leadership();
}

void Node::gossip_round() {
  runtime_.after(kGossipInterval, [this] { gossip_round(); });
  gossip_.publish();
  leadership_monitor_.check_own_term();
}

void Node::handle(HttpRequest request, const HttpCallback& respond) {
  router_.route(std::move(request), respond);
}

void Node::peer_message(const std::string& message) { gossip_.receive(message); }

}  // namespace asterstair
