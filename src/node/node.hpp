#pragma once
// One controller node: everything but sockets.

#include <memory>
#include <optional>
#include <string>

#include "autoscale/autoscaler.hpp"
#include "base/features.hpp"
#include "base/runtime.hpp"
#include "base/settings.hpp"
#include "cloud/catalog.hpp"
#include "cloud/cloud.hpp"
#include "frontend/frontend.hpp"
#include "leader/election.hpp"
#include "leader/term.hpp"
#include "node/peer_table.hpp"
#include "node/recent_cancellations.hpp"
#include "provisioning/provisioning_controller.hpp"
#include "store/store.hpp"
#include "wire/peer.hpp"

namespace asterstair {

class Node {
 public:
  Node(Runtime& runtime, Settings settings, const Features& features = {});
  void start();
  void handle(HttpRequest request, const std::function<void(HttpResponse)>& respond);
  void peer_message(const std::string& message);

  bool leading() const { return election_.leading(); }

 private:
  void elected();
  void lost();
  void gossip();
  void send_gossip(const wire::GossipMessage& message);
  wire::GossipMessage gossip_message() const;
  void cancelled(const std::string& job);
  bool may_miss_cancellations() const;
  void learn_types();
  void probe_store();
  void check_leadership();
  void check_leader_liveness();
  HttpResponse ready() const;
  void on_heartbeat(std::string body, const std::function<void(HttpResponse)>& respond);

  Runtime& runtime_;
  Settings settings_;
  store::Store store_;
  cloud::Cloud cloud_;
  cloud::Catalog catalog_;
  frontend::Frontend frontend_;
  leader::Election election_;
  provisioning::ProvisioningController provisioning_;
  std::shared_ptr<leader::Term> term_;
  std::shared_ptr<autoscale::Autoscaler> autoscaler_;
  PeerTable peers_;
  RecentCancellations cancellations_;
  std::string gossiped_leader_;
  std::uint64_t gossiped_token_ = 0;
  TimePoint last_heartbeat_{};
  bool types_fresh_ = false;
  bool counts_cut_told_ = false;
};

}  // namespace asterstair
