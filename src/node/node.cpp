#include "node/node.hpp"

#include <algorithm>

#include "base/log.hpp"
#include "wire/user.hpp"
#include "wire/worker.hpp"

namespace asterstair {
namespace {

constexpr auto kGossipInterval = 1s;
constexpr auto kStoreAnswerWindow = 3s;
// A leader that a majority has not heard for so long is replaced. Gossip messages come every
// kGossipInterval, and a worker that gets no answer looks for another node after 4 s: by then there
// should be one.
constexpr auto kLeaderSuspectTimeout = 4500ms;
constexpr auto kLeaderCheckInterval = 500ms;
constexpr auto kTypesEvery = 60s, kTypesRetry = 2s;
constexpr auto kProbeEvery = 1s;
constexpr auto kStoreLost = 4s;
// Of a message between nodes, for the counts that users are shown.
constexpr std::size_t kCountsBytes = wire::kLargestPeerMessage / 2;
// A peer that the state service answers says so in a gossip message made this long after a failure
// here: it asks every kProbeEvery at the least, and gossip come every kGossipInterval.
constexpr auto kPeerDetectionDelay = 2200ms;
constexpr auto kStoreQuiet = 2500ms;  // longer without an answer counts as a failure

HttpResponse failure(int status, std::string_view message) {
  return {status, wire::encode_error(message)};
}

HttpResponse to_http(const leader::HeartbeatResponse& response) {
  if (response.outcome == leader::HeartbeatResponse::Outcome::AnswersLost) {
    return failure(503, "answers are lost");
  }
  return {200, wire::encode_commands(response.token, response.commands)};
}

}  // namespace

Node::Node(Runtime& runtime, Settings settings, const Features& features)
    : runtime_(runtime),
      settings_(std::move(settings)),
      store_(runtime_, settings_),
      cloud_(runtime_, settings_),
      frontend_(runtime_, store_, settings_, catalog_),
      election_(runtime_, store_, settings_,
                {[this](std::uint64_t) { elected(); }, [this] { lost(); }}),
      provisioning_(runtime_, store_, cloud_, settings_, election_, features.durable_provisioning,
                    [this] { election_.step_down(); }),
      peers_(settings_.peers, runtime_.now()) {
  frontend_.on_cancelled([this](const std::string& job) { cancelled(job); });
}

void Node::start() {
  election_.start();
  learn_types();
  gossip();
  probe_store();
  check_leader_liveness();
}

void Node::elected() {
  lost();
  term_ = std::make_shared<leader::Term>(runtime_, store_, election_, settings_, catalog_);
  autoscaler_ = std::make_shared<autoscale::Autoscaler>(runtime_, cloud_, provisioning_, settings_,
                                                        catalog_, term_);
  term_->start();
  autoscaler_->start();
  send_gossip(gossip_message());
}

void Node::lost() {
  if (autoscaler_) autoscaler_->stop();
  if (term_) term_->stop();
  autoscaler_.reset();
  term_.reset();
  provisioning_.end_term();
}

// Machine types come from the cloud; what was seen last is kept in the state service, so that a
// node that starts while the cloud is down can decide about submissions.
void Node::learn_types() {
  if (!catalog_.known()) {
    store_.get(store::kCatalogKey, [this](const store::ReadResult& r) {
      if (r.outcome != store::ReadOutcome::Found || types_fresh_) return;
      try {
        catalog_.set(wire::decode_machine_types(wire::dump(*r.item.value)));
      } catch (const wire::DecodeError& e) {
        log::error("catalog is malformed: {}", e.what());
      }
    });
  }
  cloud_.fetch_machine_types([this](std::optional<std::vector<MachineType>> types) {
    if (types && !types->empty()) {
      const bool first = !types_fresh_;
      types_fresh_ = true;
      catalog_.set(*types);
      auto value = wire::encode_machine_types(*types);
      if (first && wire::dump(value).size() < settings_.value_bytes) {
        wire::Txn txn;
        txn.changes = {{store::kCatalogKey, std::move(value)}};
        store_.write(std::move(txn), store::Urgency::Lazy, [](const store::WriteResult&) {});
      }
    }
    runtime_.after(types_fresh_ ? Duration(kTypesEvery) : Duration(kTypesRetry),
                   [this] { learn_types(); });
  });
}

wire::GossipMessage Node::gossip_message() const {
  wire::GossipMessage message;
  message.node = settings_.node;
  message.leader = election_.leader();
  message.token = election_.token();
  message.store_reachable = !store_.seems_down();
  const auto age_ms = [this](TimePoint at) {
    if (at == TimePoint{}) return wire::kUnknownAge;
    const auto age = std::chrono::duration_cast<milliseconds>(runtime_.now() - at);
    return static_cast<std::uint32_t>(std::min<std::int64_t>(age.count(), wire::kUnknownAge));
  };
  message.store_age_ms = age_ms(store_.last_answer());
  message.heartbeat_age_ms = age_ms(last_heartbeat_);
  message.stepped_down_token = election_.stepped_down_token();
  if (!message.leader.empty() && !election_.leading()) {
    message.leader_age_ms = age_ms(peers_.last_seen(message.leader));
  }
  return message;
}

void Node::send_gossip(const wire::GossipMessage& message) {
  const std::string bytes = wire::encode_gossip(message);
  for (const auto& [node, status] : peers_.all()) runtime_.send_peer(node, bytes);
}

void Node::gossip() {
  runtime_.after(kGossipInterval, [this] { gossip(); });
  auto message = this->gossip_message();
  message.cancelled = cancellations_.jobs(runtime_.now());
  if (term_) {
    std::unordered_map<std::string, frontend::Counts> counts;
    std::size_t bytes = 0;
    for (const auto& c : term_->counts()) {
      counts[c.job] = {c.done, c.running};
      bytes += c.job.size() + wire::kPeerEntryOverhead;
      // Counts serve only for display: the peers show the others as queued.
      if (bytes <= kCountsBytes) message.counts.push_back({c.job, c.done, c.running});
    }
    if (bytes > kCountsBytes && !counts_cut_told_) {
      counts_cut_told_ = true;
      log::info("more jobs run than the siblings can be told the counts of");
    }
    frontend_.set_counts(std::move(counts));
  }
  send_gossip(message);
  check_leadership();
}

// The leader may be the one node that the state service refuses: its watch would tell it nothing.
// So whoever confirms a cancellation tells the peers before the user.
void Node::cancelled(const std::string& job) {
  if (term_) term_->cancelled(job);
  cancellations_.add(job, runtime_.now());
  auto message = this->gossip_message();
  message.leader.clear();  // it brings no counts
  message.cancelled = {job};
  send_gossip(message);
}

// Whether the state service fails this node, or has long been quiet, and not every peer has said
// that it is the same for it: then others may confirm cancellations that cannot be seen here. In an
// outage for all nobody confirms anything, and work goes on being started.
bool Node::may_miss_cancellations() const {
  const auto now = runtime_.now();
  auto since = store_.failing_since();
  if (since == TimePoint{} && now - store_.last_answer() > kStoreQuiet) {
    since = store_.last_answer();
  }
  if (since == TimePoint{}) return false;
  const auto& peers = peers_.all();
  return std::any_of(peers.begin(), peers.end(), [&](const auto& peer) {
    const PeerTable::Status& s = peer.second;
    return !PeerTable::recent(s, now) || s.last_seen < since + kPeerDetectionDelay ||
           s.store_last_answer > since;
  });
}

// A leader that has lost the state service or the workers, alone, would hold its grant while
// nothing starts or leases run out. A peer that is better off takes over as soon as it hears of
// it.
void Node::check_leadership() {
  if (!term_) return;
  const auto now = runtime_.now();
  const bool store_lost =
      store_.failing_since() != TimePoint{} && now - store_.failing_since() > kStoreLost;
  const bool workers_lost = term_->heartbeats_lost() && store_.answered_within(kStoreAnswerWindow);
  if (!store_lost && !workers_lost) return;
  for (const auto& [node, s] : peers_.all()) {
    if (!PeerTable::recent(s, now) || !s.store_reachable) continue;
    // Answered there after it first failed here: an outage would be the same for all, and must not
    // cost the leader its lease validity.
    const bool store_better = store_lost && s.store_last_answer > store_.failing_since();
    // One that has not heard a worker in all its term asks more: workers that it does not hear try
    // the others. Where nobody hears them all machines may be gone, and leaders would hand over for
    // ever, none of them waiting until the leases have run out.
    const bool workers_better =
        workers_lost && (term_->any_heartbeat() || s.last_heartbeat > term_->last_heartbeat_at());
    if (!store_better && !workers_better) continue;
    log::info("{} is better off: the {} here", node,
              store_better ? "state service does not answer" : "workers are not heard");
    election_.step_down();
    return;
  }
}

// A leader that stands still, or is cut off, would keep the key until its grant ends, and the work
// of workers whose leases are shorter would be lost. Only where the state service answers: in an
// outage nobody can claim.
void Node::check_leader_liveness() {
  runtime_.after(kLeaderCheckInterval, [this] { check_leader_liveness(); });
  const std::string& leader = election_.leader();
  if (election_.leading() || leader.empty() || !store_.answered_within(kStoreAnswerWindow)) return;
  if (peers_.majority_suspects(leader, kLeaderSuspectTimeout, runtime_.now())) {
    election_.force_failover();
  }
}

void Node::peer_message(const std::string& bytes) {
  const auto message = wire::decode_gossip(bytes);
  if (!message || !peers_.update(*message, runtime_.now())) return;
  if (message->stepped_down_token != 0)
    election_.claim_after_step_down(message->stepped_down_token);
  if (message->leader == message->node) election_.on_higher_token(message->token);
  if (term_) {
    for (const auto& job : message->cancelled) {
      if (wire::valid_job_id(job)) term_->cancelled(job);
    }
  }
  if (message->leader == message->node && message->token >= gossiped_token_) {
    gossiped_leader_ = message->node;
    gossiped_token_ = message->token;
    if (!term_) {
      std::unordered_map<std::string, frontend::Counts> counts;
      for (const auto& c : message->counts) counts[c.job] = {c.done, c.running};
      frontend_.set_counts(std::move(counts));
    }
  }
}

// Keeps an idle node's view of the state service current.
void Node::probe_store() {
  runtime_.after(kProbeEvery, [this] { probe_store(); });
  if (store_.answered_within(kProbeEvery)) return;
  store_.get(store::kLeaderKey, [](const store::ReadResult&) {});
}

HttpResponse Node::ready() const {
  if (!catalog_.known()) return failure(503, "the machine types are not known yet");
  // Alone without the state service: the others serve users better. When nobody has it, leaving
  // and rejoining the load balancer would only add to the outage.
  if (store_.seems_down()) {
    for (const auto& [node, s] : peers_.all()) {
      if (s.store_reachable && PeerTable::recent(s, runtime_.now())) {
        return failure(503, "the state service answers other nodes only");
      }
    }
  }
  return {200, "{}"};
}

void Node::on_heartbeat(std::string body, const std::function<void(HttpResponse)>& respond) {
  last_heartbeat_ = runtime_.now();
  if (!election_.leading()) {
    std::string leader = election_.leader();
    if (leader.empty()) leader = gossiped_leader_;
    // One that has become unreachable is not recommended: each try of it costs a worker seconds of
    // its lease, and going round finds whoever takes over.
    if (peers_.is_unreachable(leader, runtime_.now())) leader.clear();
    respond({421, wire::encode_not_leader(leader == settings_.node ? "" : leader)});
    return;
  }
  // Entitlement alone does not do: a touch may succeed again while the watch has not yet told what
  // was cancelled meanwhile.
  if (!election_.lease_valid() || !term_ || !term_->view_is_fresh()) {
    respond(failure(503, "not entitled to give commands at present"));
    return;
  }
  Heartbeat r;
  try {
    r = wire::decode_heartbeat(std::move(body));
  } catch (const wire::DecodeError& e) {
    log::error("malformed report: {}", e.what());
    respond(failure(400, e.what()));
    return;
  }
  if (r.token > election_.token()) {
    respond(failure(503, "a newer leader has been seen"));
    return;
  }
  term_->suspend_launches(may_miss_cancellations());
  respond(to_http(term_->on_heartbeat(r)));
}

void Node::handle(HttpRequest request, const std::function<void(HttpResponse)>& respond) {
  const std::string_view target = request.target;
  const auto path = target.substr(0, target.find('?'));
  const auto need = [&](std::string_view method) {
    if (request.method == method) return true;
    respond(failure(405, "wrong method"));
    return false;
  };
  if (path == wire::kHeartbeatPath) {
    if (need("POST")) on_heartbeat(std::move(request.body), respond);
  } else if (path == wire::kReadyPath) {
    if (need("GET")) respond(ready());
  } else if (path == wire::kRunsPath) {
    if (need("POST")) frontend_.submit(request.body, respond);
  } else if (path.starts_with(wire::kRunsPath) && path.size() > wire::kRunsPath.size() + 1 &&
             path[wire::kRunsPath.size()] == '/') {
    const auto rest = path.substr(wire::kRunsPath.size() + 1);
    if (rest.ends_with(wire::kAbortSuffix)) {
      const std::string id(rest.substr(0, rest.size() - wire::kAbortSuffix.size()));
      if (need("POST")) frontend_.cancel(id, respond);
    } else if (rest.find('/') == std::string_view::npos) {
      if (need("GET")) frontend_.status(std::string(rest), respond);
    } else {
      respond(failure(404, "no such path"));
    }
  } else {
    respond(failure(404, "no such path"));
  }
}

}  // namespace asterstair
