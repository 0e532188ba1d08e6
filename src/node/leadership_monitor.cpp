#include "node/leadership_monitor.hpp"

#include "base/log.hpp"

namespace asterstair {
namespace {

// Both decisions that blame another node need a state service that has answered here so recently.
constexpr auto kStoreAnswerWindow = 3s;
// How long requests to the state service fail before a leader counts it as lost.
constexpr auto kStoreLostTimeout = 4s;
// A leader that a majority has not heard from for so long is replaced. Gossip messages come every
// second, and a worker that gets no answer looks for another node after 4 s: by then there should
// be a new leader.
constexpr auto kLeaderSuspectTimeout = 4500ms;
constexpr auto kLivenessCheckInterval = 500ms;

}  // namespace

LeadershipMonitor::LeadershipMonitor(Runtime& runtime, const store::Store& store,
                                     leader::Election& election, const TermRunner& terms,
                                     const PeerTable& peers)
    : runtime_(runtime), store_(store), election_(election), terms_(terms), peers_(peers) {}

void LeadershipMonitor::start() { check_leader_liveness(); }

// A leader that is paused or cut off would keep the key until its store lease expires, and the work
// of workers whose leases are shorter would be lost. A failover is forced only where the state
// service answers, since nobody can claim in an outage.
void LeadershipMonitor::check_leader_liveness() {
  runtime_.after(kLivenessCheckInterval, [this] { check_leader_liveness(); });
  const std::string& leader = election_.leader();
  if (election_.leading() || leader.empty()) return;
  if (!store_.answered_within(kStoreAnswerWindow)) return;
  if (peers_.majority_suspects(leader, kLeaderSuspectTimeout, runtime_.now())) {
    election_.force_failover();
  }
}

// A leader that alone has lost the state service or the workers would hold its store lease while
// nothing starts or the workers' leases expire. A peer that is spared takes over as soon as it
// hears that the leader has stepped down.
void LeadershipMonitor::check_own_term() {
  const auto* term = terms_.term();
  if (term == nullptr) return;
  const Impairment own = impairment_of(*term);
  if (!own.any()) return;
  for (const auto& [node, peer] : peers_.statuses()) {
    if (!peer.reachable(runtime_.now()) || !peer.store_reachable) continue;
    const Impairment reason = spared_by(peer, *term, own);
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

// What of this leader's impairment the peer does not share.
LeadershipMonitor::Impairment LeadershipMonitor::spared_by(const PeerStatus& peer,
                                                           const leader::Term& term,
                                                           const Impairment& own) const {
  Impairment spared;
  // The state service has to have answered the peer after it first failed here. An outage would be
  // the same for all nodes, and must not cost the leader its lease.
  spared.store = own.store && peer.store_last_answer > store_.failing_since();
  // If this leader has had no heartbeat in its whole term, the peer must have had one since:
  // workers that get no answer here try the other nodes. Where nobody gets any heartbeat, all
  // machines may be gone. Leaders would then step down in turn for ever, and none would lead until
  // the workers' leases have expired.
  spared.heartbeats =
      own.heartbeats && (term.any_heartbeat() || peer.last_heartbeat > term.last_heartbeat_at());
  return spared;
}

void LeadershipMonitor::step_down(const std::string& successor, const Impairment& reason) {
  log::info("leadership: {} can take over, {}", successor,
            reason.store ? "the state service does not answer this node"
                         : "no heartbeats reach this node");
  election_.step_down();
}

}  // namespace asterstair
