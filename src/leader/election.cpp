#include "leader/election.hpp"

#include <algorithm>

#include "base/log.hpp"

namespace asterstair::leader {
namespace {

// Room for the steps between deciding and the packet leaving.
constexpr auto kMargin = 300ms;
constexpr auto kRenewEvery = 2s;
constexpr auto kRenewRetry = 300ms;
constexpr auto kCheckRetry = 400ms;
constexpr auto kWatchWait = 10s;
// So long a node that has resigned leaves the key to its siblings.
constexpr auto kOthersFirst = 5s;
// An attempt to claim the key of a silent leader is repeated no sooner.
constexpr auto kContestEvery = 3s;
constexpr auto kHeartbeatEvery = 250ms;
// A process that has stood still for longer may have been taken for silent by its siblings: it
// renews before it acts again.
constexpr auto kLongestPause = 3s;

}  // namespace

Election::Election(Runtime& runtime, store::Store& store, const Settings& settings, Events events)
    : runtime_(runtime),
      store_(store),
      node_(settings.node),
      ttl_(leader_ttl(settings)),
      events_(std::move(events)) {}

void Election::start() { check(); }

bool Election::entitled() const {
  const auto now = runtime_.now();
  return leading() && now < entitled_until_ && now - last_heartbeat_ <= kLongestPause;
}

TimePoint Election::entitlement_end(TimePoint renewal_sent) const {
  return renewal_sent + to_duration(Seconds(seconds(ttl_) * (1 - kClockDrift))) - kMargin;
}

void Election::check_later(Duration delay) {
  const auto epoch = ++epoch_;
  runtime_.after(delay, [this, epoch] {
    if (epoch == epoch_) check();
  });
}

void Election::check() {
  const auto epoch = ++epoch_;
  // Listed, not read by its name: a list tells the revision to watch from. The key's own version
  // falls out of what the service remembers once enough else has changed, and a watch from there
  // is turned away each time.
  store_.list(store::kLeaderKey, [this, epoch](const store::ListResult& r) {
    if (epoch != epoch_ || leading()) return;
    if (!r.ok) {
      check_later(kCheckRetry);
      return;
    }
    if (!r.items.empty()) {
      on_leader_item(r.items.front(), r.revision);
      return;
    }
    leader_.clear();
    leader_version_ = 0;
    if (runtime_.now() < no_claim_before_) {
      check_later(kCheckRetry);
    } else {
      claim(0, false);
    }
  });
}

void Election::on_leader_item(const wire::Item& item, std::uint64_t revision) {
  store::LeaderRecord record;
  try {
    record = store::decode_leader(*item.value);
  } catch (const wire::BadMessage& e) {
    log::error("leader key is malformed: {}", e.what());
    record.contested = true;
  }
  if (resigned_by_sibling_ != 0 && item.version == resigned_by_sibling_) {
    claim_after(item.version, record.contested);
    return;
  }
  if (record.node != node_) {
    leader_ = record.node;
    leader_version_ = item.version;
    follow(revision);
    return;
  }
  if (pending_.id != 0 && record.claim == pending_.id) {
    lead(item.version, record.contested);
  } else if (runtime_.now() < no_claim_before_) {
    check_later(kCheckRetry);
  } else {
    // An earlier process of this node held it, and has ended: a node runs one process. The claim
    // writes the key, so late transactions of that process fail.
    claim_after(item.version, record.contested);
  }
}

void Election::follow(std::uint64_t after) {
  const auto epoch = ++epoch_;
  store_.watch(store::kLeaderKey, after, kWatchWait,
               [this, epoch, after](const store::WatchResult& r) {
                 if (epoch != epoch_) return;
                 if (r.outcome == store::WatchResult::Outcome::Events && r.events.items.empty()) {
                   follow(std::max(after, r.events.revision));
                 } else if (r.outcome == store::WatchResult::Outcome::Unavailable) {
                   check_later(kCheckRetry);
                 } else {
                   check();
                 }
               });
}

// Claims from the term with this version, whose leader has resigned or ended. If that term was
// contested, leaders before it may be entitled still, unless its leader has noted that they are
// not.
void Election::claim_after(std::uint64_t version, bool contested) {
  if (!contested) {
    claim(version, false);
    return;
  }
  const auto epoch = ++epoch_;
  store_.get_now(store::kEarlierLeadersEndedKey,
                 [this, epoch, version](const store::ReadResult& r) {
                   if (epoch != epoch_) return;
                   bool ended = false;
                   if (r.outcome == store::ReadOutcome::Found) {
                     try {
                       ended = store::decode_earlier_leaders_ended(*r.item.value) == version;
                     } catch (const wire::BadMessage& e) {
                       log::error("{} is malformed: {}", store::kEarlierLeadersEndedKey, e.what());
                     }
                   }
                   claim(version, !ended);
                 });
}

// `contested`: whether a leader before this claim may be entitled still.
void Election::claim(std::uint64_t expected_version, bool contested) {
  const auto epoch = ++epoch_;
  const auto sent = runtime_.now();
  store_.create_grant(
      ttl_, [this, epoch, sent, expected_version, contested](std::optional<std::uint64_t> grant) {
        if (epoch != epoch_) return;
        if (!grant) {
          check_later(kCheckRetry);
          return;
        }
        pending_ = {runtime_.rng()() >> 1U, *grant, sent};
        write_claim(expected_version, contested);
      });
}

void Election::write_claim(std::uint64_t expected_version, bool contested) {
  wire::Txn txn;
  txn.conditions.push_back({store::kLeaderKey, expected_version});
  txn.changes.push_back(
      {store::kLeaderKey, store::encode_leader({node_, pending_.id, contested}), pending_.grant});
  store_.write(std::move(txn), store::Urgency::User,
               [this, epoch = epoch_, contested](const store::WriteResult& r) {
                 if (epoch != epoch_) return;
                 if (r.outcome == store::WriteOutcome::Committed) {
                   lead(r.revision, contested);
                 } else if (r.outcome == store::WriteOutcome::Conflict) {
                   store_.drop_grant(pending_.grant);
                   check();
                 } else {
                   check_later(kCheckRetry);  // reading the key tells whether it was carried out
                 }
               });
}

void Election::lead(std::uint64_t token, bool contested) {
  const auto now = runtime_.now();
  token_ = token;
  grant_ = pending_.grant;
  leader_ = node_;
  leader_version_ = 0;
  entitled_until_ = entitlement_end(pending_.sent);
  pending_ = {};
  last_heartbeat_ = now;
  // An earlier leader has renewed before this claim was carried out, if at all: see renew().
  earlier_leaders_end_ = now;
  if (contested) earlier_leaders_end_ += to_duration(Seconds(seconds(ttl_) * (1 + kClockDrift)));
  bound_to_be_noted_ = contested;
  noting_bound_ = false;
  log::info("leading with token {}{}", token_, contested ? ", contested" : "");
  events_.elected(token_);
  heartbeat();
  renew();
}

// The key is read before the grant is touched, and the entitlement counted from before both: a
// claim by another node comes after the read, so it ends within ttl_ of any such claim, although
// the grant itself may be touched for longer.
void Election::renew() {
  const auto epoch = ++epoch_;
  const auto sent = runtime_.now();
  store_.get_now(store::kLeaderKey, [this, epoch, sent](const store::ReadResult& r) {
    if (epoch != epoch_) return;
    if (r.outcome == store::ReadOutcome::Unavailable) {
      renew_after(epoch, kRenewRetry);
    } else if (r.outcome == store::ReadOutcome::Missing || r.item.version != token_) {
      lose();
    } else {
      touch(epoch, sent);
    }
  });
}

void Election::touch(std::uint64_t epoch, TimePoint sent) {
  store_.touch_grant(grant_, [this, epoch, sent](store::GrantOutcome r) {
    if (epoch != epoch_) return;
    if (r == store::GrantOutcome::Gone) {
      lose();
      return;
    }
    if (r == store::GrantOutcome::Unavailable) {
      renew_after(epoch, kRenewRetry);
      return;
    }
    const bool resumed = !entitled();
    entitled_until_ = entitlement_end(sent);
    if (resumed && entitled()) log::info("entitled again with token {}", token_);
    renew_after(epoch, std::min<Duration>(kRenewEvery, ttl_ / 6));
  });
}

void Election::renew_after(std::uint64_t epoch, Duration delay) {
  if (!entitled()) log::debug("not entitled: the state service has not renewed the grant");
  runtime_.after(delay, [this, epoch] {
    if (epoch == epoch_) renew();
  });
}

// A process may stand still and find its timers and sockets as it left them. What its siblings
// have done meanwhile it learns from the state service only.
void Election::heartbeat() {
  const auto now = runtime_.now();
  const bool paused = now - last_heartbeat_ > kLongestPause;
  last_heartbeat_ = now;
  if (paused) {
    log::info("stood still; entitled again only once the grant is renewed");
    entitled_until_ = {};
    renew();
  }
  note_earlier_leaders_ended();
  runtime_.after(kHeartbeatEvery, [this, token = token_] {
    if (token == token_) heartbeat();
  });
}

// Without it every term after a contested one would be taken for contested as well, and wait for
// machines that are not heard for longer than it must.
void Election::note_earlier_leaders_ended() {
  if (!bound_to_be_noted_ || noting_bound_ || !entitled()) return;
  if (runtime_.now() < earlier_leaders_end_) return;
  noting_bound_ = true;
  wire::Txn txn;
  txn.conditions.push_back(guard());
  txn.changes.push_back(
      {store::kEarlierLeadersEndedKey, store::encode_earlier_leaders_ended(token_)});
  store_.write(std::move(txn), store::Urgency::Lazy,
               [this, token = token_](const store::WriteResult& r) {
                 if (token != token_) return;
                 noting_bound_ = false;
                 if (r.outcome == store::WriteOutcome::Committed) bound_to_be_noted_ = false;
               });
}

void Election::resign() {
  if (!leading()) return;
  log::info("token {} is given up", token_);
  const auto now = runtime_.now();
  resigned_ = token_;
  no_claim_before_ = now + kOthersFirst;
  // The key tells that an earlier leader may be entitled still; with the grant it would vanish.
  if (now >= earlier_leaders_end_) store_.drop_grant(grant_);
  lose();
}

void Election::claim_resigned(std::uint64_t token) {
  if (leading() || token <= resigned_by_sibling_) return;
  resigned_by_sibling_ = token;
  leader_.clear();
  leader_version_ = 0;
  check();
}

void Election::claim_from_silent_leader() {
  const auto now = runtime_.now();
  if (leading() || leader_version_ == 0 || now < next_contest_ || now < no_claim_before_) return;
  next_contest_ = now + kContestEvery;
  log::info("{} has fallen silent; its key is claimed", leader_);
  claim(leader_version_, true);
}

void Election::superseded_by(std::uint64_t token) {
  if (leading() && token > token_) lose();
}

void Election::lose() {
  log::info("no longer leading; token {} is void", token_);
  token_ = 0;
  grant_ = 0;
  leader_.clear();
  leader_version_ = 0;
  events_.lost();
  check();
}

}  // namespace asterstair::leader
