#include "node/leadership_monitor.hpp"

#include "base/log.hpp"

namespace asterstair {
namespace {

// A failover is forced, and missing heartbeats count as a fault of this node, only if the state
// service has answered this node within this time.
constexpr auto kStoreAnswerWindow = 3s;
// How long requests to the state service fail before a leader counts it as lost.
constexpr auto kStoreLostTimeout = 4s;
// A leader is replaced if a majority of the nodes has not heard from it for this long. Gossip
// messages are sent every second. A worker that gets no response tries another node after 4 s;
// there should be a new leader by about then.
constexpr auto kLeaderSuspectTimeout = 4500ms;
constexpr auto kLivenessCheckInterval = 500ms;

}  // namespace

LeadershipMonitor::LeadershipMonitor(Runtime& runtime, const store::Store& store,
                                     leader::Election& election, const TermRunner& terms,
                                     const PeerTable& peers)
    : runtime_(runtime), store_(store), election_(election), terms_(terms), peers_(peers) {}

void LeadershipMonitor::start() { check_leader_liveness(); }

// A paused or partitioned leader would keep the leader key until its store lease expires, and the
// tasks of workers with shorter leases would be lost. A failover is forced only if the state
// service answers this node, since no node can claim leadership during an outage.
void LeadershipMonitor::check_leader_liveness() {
  runtime_.after(kLivenessCheckInterval, [this] { check_leader_liveness(); });
  const std::string& leader = election_.leader();
  if (election_.leading() || leader.empty()) return;
  if (!store_.answered_within(kStoreAnswerWindow)) return;
  if (peers_.majority_suspects(leader, kLeaderSuspectTimeout, runtime_.now())) {
    election_.force_failover();
  }
}

// If only the leader has lost the state service or the heartbeats, it would keep its store lease
// while no task starts or the workers' leases expire. A peer without that impairment takes over as
// soon as it learns that the leader has stepped down.
void LeadershipMonitor::check_own_term() {
  const auto* term = terms_.term();
  if (term == nullptr) return;
  const Impairment own = impairment_of(*term);
  if (!own.any()) return;
  for (const auto& [node, peer] : peers_.statuses()) {
    if (!peer.reachable(runtime_.now()) || !peer.store_reachable) continue;
    const Impairment reason = unshared_impairment(peer, *term, own);
    if (!reason.any()) continue;
    step_down(node, reason);
    return;
  }
}

LeadershipMonitor::Impairment LeadershipMonitor::impairment_of(const leader::Term& term) const {
  const auto failing_since = store_.failing_since();
  Impairment own;
  own.store = failing_since != TimePoint{} && runtime_.now() - failing_since > kStoreLostTimeout;
  own.heartbeats = term.heartbeats_lost() && store_.answered_within(kStoreAnswerWindow);
  return own;
}

// Returns the part of this leader's impairment that the peer does not share.
LeadershipMonitor::Impairment LeadershipMonitor::unshared_impairment(const PeerStatus& peer,
                                                                     const leader::Term& term,
                                                                     const Impairment& own) const {
  Impairment unshared;
  // The state service must have answered the peer after the first failure here. An outage that
  // affects all nodes must not cost the leader its lease.
  unshared.store = own.store && peer.store_last_answer > store_.failing_since();
  // If this leader has received no heartbeat in its term, the peer must have received one since the
  // term began: workers that get no response here try the other nodes. If no node receives
  // heartbeats, all machines may be terminated. Without this condition leaders would then step down
  // in turn endlessly, and none would lead until the workers' leases have expired.
  unshared.heartbeats =
      own.heartbeats && (term.any_heartbeat() || peer.last_heartbeat > term.last_heartbeat_at());
  return unshared;
}

void LeadershipMonitor::step_down(const std::string& successor, const Impairment& reason) {
  log::info("leadership: {} can take over, {}", successor,
            reason.store ? "the state service does not answer this node"
                         : "no heartbeats reach this node");
  election_.step_down();
}

}  // namespace asterstair
