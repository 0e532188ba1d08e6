#pragma once
/// @file
/// One controller node, without its sockets.

#include <string>

#include "base/features.hpp"
#include "base/runtime.hpp"
#include "base/settings.hpp"
#include "cloud/catalog.hpp"
#include "cloud/cloud.hpp"
#include "frontend/frontend.hpp"
#include "leader/election.hpp"
#include "node/catalog_refresher.hpp"
#include "node/heartbeat_endpoint.hpp"
#include "node/leadership_monitor.hpp"
#include "node/peer_gossip.hpp"
#include "node/request_router.hpp"
#include "node/store_probe.hpp"
#include "node/term_runner.hpp"
#include "provisioning/provisioning_controller.hpp"
#include "store/store.hpp"

namespace asterstair {

/// One controller node, without its sockets.
///
/// Node owns the components and connects them; all decisions are made in the components. The
/// members are constructed in the order of their declaration: each refers to members before it. The
/// program creates one Node, and the simulation creates one for each simulated process; both pass
/// requests and gossip messages to it. Everything runs on the event loop's thread.
class Node {
 public:
  /// `runtime` must outlive the node and must run no callback after the node's destruction.
  Node(Runtime& runtime, Settings settings, const Features& features = {});

  Node(const Node&) = delete;
  Node& operator=(const Node&) = delete;

  /// Starts the election and the periodic work. Called once.
  void start();
  /// Handles an HTTP request; `respond` is called exactly once.
  void handle(HttpRequest request, const HttpCallback& respond);
  /// Handles a gossip message from a peer.
  void peer_message(const std::string& message);

  /// Whether this node leads; its lease may have expired.
  bool leading() const { return election_.leading(); }

 private:
  void on_elected();
  void gossip_round();

  Runtime& runtime_;
  Settings settings_;
  store::Store store_;
  cloud::Cloud cloud_;
  cloud::Catalog catalog_;
  frontend::Frontend frontend_;
  leader::Election election_;
  provisioning::ProvisioningController provisioning_;
  TermRunner terms_;
  PeerGossip gossip_;
  LeadershipMonitor leadership_monitor_;
  CatalogRefresher catalog_refresher_;
  StoreProbe store_probe_;
  HeartbeatEndpoint heartbeats_;
  RequestRouter router_;
};

}  // namespace asterstair
