#include "node/peer_gossip.hpp"

#include <algorithm>
#include <chrono>

#include "base/log.hpp"
#include "wire/user.hpp"

namespace asterstair {
namespace {

// Maximum size of the counts in a message.
constexpr std::size_t kMaxCountsBytes = wire::kMaxPeerMessageBytes / 2;

// A template, since the leader's own counts and those of a gossip message are different types with
// the same fields.
template <typename Entries>
frontend::CountsByJob counts_by_job(const Entries& entries) {
  frontend::CountsByJob counts;
  for (const auto& entry : entries) counts[entry.job] = {entry.done, entry.running};
  return counts;
}

}  // namespace

PeerGossip::PeerGossip(Runtime& runtime, const Settings& settings, const store::Store& store,
                       leader::Election& election, const TermRunner& terms,
                       frontend::Frontend& frontend)
    : runtime_(runtime),
      settings_(settings),
      store_(store),
      election_(election),
      terms_(terms),
      frontend_(frontend),
      peers_(settings.peers, runtime.now()) {}

void PeerGossip::publish() {
  auto message = state_message();
  message.cancelled = cancellations_.jobs(runtime_.now());
  if (const auto* term = terms_.term()) {
    const auto counts = term->counts();
    add_counts(message, counts);
    frontend_.set_counts(counts_by_job(counts));
  }
  send(message);
}

void PeerGossip::announce_leadership() { send(state_message()); }

// The leader may be the only node that the state service does not answer, so that its watch would
// not report the cancellation. Therefore the node that confirms a cancellation sends it to its
// peers before it responds to the user.
void PeerGossip::announce_cancellation(const std::string& job) {
  if (auto* term = terms_.term()) term->on_job_cancelled(job);
  cancellations_.add(job, runtime_.now());
  auto message = state_message();
  // The message carries no counts. Without a leader's name the peers do not apply its counts.
  message.leader.clear();
  message.cancelled = {job};
  send(message);
}

wire::GossipMessage PeerGossip::state_message() const {
  wire::GossipMessage message;
  message.node = settings_.node;
  message.leader = election_.leader();
  message.token = election_.token();
  message.store_reachable = !store_.seems_down();
  message.store_age_ms = age_ms(store_.last_answer());
  message.heartbeat_age_ms = age_ms(last_heartbeat_);
  message.stepped_down_token = election_.stepped_down_token();
  if (!message.leader.empty() && !election_.leading()) {
    message.leader_age_ms = age_ms(peers_.last_seen(message.leader));
  }
  return message;
}

std::uint32_t PeerGossip::age_ms(TimePoint since) const {
  if (since == TimePoint{}) return wire::kUnknownAge;
  const auto age = std::chrono::duration_cast<milliseconds>(runtime_.now() - since);
  return static_cast<std::uint32_t>(std::min<std::int64_t>(age.count(), wire::kUnknownAge));
}

// Counts are for display only. The peers show jobs whose counts are omitted as queued.
void PeerGossip::add_counts(wire::GossipMessage& message,
                            const std::vector<leader::JobCounts>& counts) {
  std::size_t bytes = 0;
  for (const auto& count : counts) {
    bytes += count.job.size() + wire::kPeerEntryOverhead;
    if (bytes <= kMaxCountsBytes) message.counts.push_back({count.job, count.done, count.running});
  }
  if (bytes > kMaxCountsBytes && !truncation_logged_) {
    truncation_logged_ = true;
    log::info("gossip: the counts of all jobs exceed a message; peers show some as queued");
  }
}

void PeerGossip::send(const wire::GossipMessage& message) {
  const std::string bytes = wire::encode_gossip(message);
  for (const auto& [node, status] : peers_.statuses()) runtime_.send_peer(node, bytes);
}

void PeerGossip::receive(const std::string& bytes) {
  const auto message = wire::decode_gossip(bytes);
  if (!message || !peers_.update(*message, runtime_.now())) return;
  const bool from_leader = message->leader == message->node;
  if (message->stepped_down_token != 0) {
    election_.claim_after_step_down(message->stepped_down_token);
  }
  if (from_leader) election_.on_higher_token(message->token);
  on_cancellations(message->cancelled);
  if (from_leader) on_leader_state(*message);
}

void PeerGossip::on_cancellations(const std::vector<std::string>& jobs) {
  auto* term = terms_.term();
  if (term == nullptr) return;
  for (const auto& job : jobs) {
    if (wire::valid_job_id(job)) term->on_job_cancelled(job);
  }
}

void PeerGossip::on_leader_state(const wire::GossipMessage& message) {
  if (message.token < announced_token_) return;
  announced_leader_ = message.node;
  announced_token_ = message.token;
  if (terms_.term() == nullptr) frontend_.set_counts(counts_by_job(message.counts));
}

}  // namespace asterstair
