#include "leader/election.hpp"

#include <algorithm>

#include "base/log.hpp"

namespace asterstair::leader {
namespace {

// Room for the steps between deciding and the packet leaving.
constexpr auto kMargin = 300ms;
constexpr auto kTouchEvery = 2s;
constexpr auto kTouchRetry = 300ms;
constexpr auto kCheckRetry = 400ms;
constexpr auto kWatchWait = 10s;
constexpr auto kStandBack = 5s;

}  // namespace

Election::Election(Runtime& runtime, store::Store& store, const Settings& settings, Events events)
    : runtime_(runtime),
      store_(store),
      node_(settings.node),
      ttl_(leader_ttl(settings)),
      events_(std::move(events)) {}

void Election::start() { check(); }

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
    const bool stand_back = runtime_.now() < stand_back_until_;
    if (r.items.empty()) {
      leader_.clear();
      if (stand_back) {
        check_later(kCheckRetry);
      } else {
        claim(0);
      }
      return;
    }
    const auto& item = r.items.front();
    if (vacant_ != 0 && item.version == vacant_) {
      claim(item.version);
      return;
    }
    store::LeaderRecord record;
    try {
      record = store::decode_leader(*item.value);
    } catch (const wire::BadMessage& e) {
      log::error("leader key is malformed: {}", e.what());
    }
    if (record.node == node_) {
      if (pending_claim_ != 0 && record.claim == pending_claim_) {
        lead(item.version, pending_grant_, pending_since_);
      } else if (stand_back) {
        check_later(kCheckRetry);
      } else {
        // An earlier process of this node held it, and has ended: a node runs one process. The
        // claim writes the key, so late transactions of that process fail.
        claim(item.version);
      }
      return;
    }
    leader_ = record.node;
    follow(r.revision);
  });
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

void Election::claim(std::uint64_t expected_version) {
  const auto epoch = ++epoch_;
  const auto sent = runtime_.now();
  store_.create_grant(ttl_, [this, epoch, sent,
                             expected_version](std::optional<std::uint64_t> grant) {
    if (epoch != epoch_) return;
    if (!grant) {
      check_later(kCheckRetry);
      return;
    }
    pending_claim_ = runtime_.rng()() >> 1U;
    pending_grant_ = *grant;
    pending_since_ = sent;
    wire::Txn txn;
    txn.conditions.push_back({store::kLeaderKey, expected_version});
    txn.changes.push_back(
        {store::kLeaderKey, store::encode_leader({node_, pending_claim_}), pending_grant_});
    store_.write(std::move(txn), store::Urgency::User, [this, epoch](const store::WriteResult& r) {
      if (epoch != epoch_) return;
      if (r.outcome == store::WriteOutcome::Committed) {
        lead(r.revision, pending_grant_, pending_since_);
      } else if (r.outcome == store::WriteOutcome::Conflict) {
        store_.drop_grant(pending_grant_);
        check();
      } else {
        check_later(kCheckRetry);  // reading the key tells whether it was carried out
      }
    });
  });
}

void Election::lead(std::uint64_t token, std::uint64_t grant, TimePoint touched) {
  token_ = token;
  grant_ = grant;
  pending_claim_ = 0;
  leader_ = node_;
  entitled_until_ = touched + to_duration(Seconds(seconds(ttl_) * (1 - kClockDrift))) - kMargin;
  log::info("leading with token {}", token_);
  events_.elected(token_);
  touch();
}

void Election::touch() {
  const auto epoch = ++epoch_;
  const auto sent = runtime_.now();
  store_.touch_grant(grant_, [this, epoch, sent](store::GrantOutcome r) {
    if (epoch != epoch_) return;
    if (r == store::GrantOutcome::Gone) {
      lose();
      return;
    }
    Duration next = kTouchRetry;
    if (r == store::GrantOutcome::Alive) {
      const bool resumed = !entitled();
      entitled_until_ = sent + to_duration(Seconds(seconds(ttl_) * (1 - kClockDrift))) - kMargin;
      if (resumed && entitled()) log::info("entitled again with token {}", token_);
      next = std::min<Duration>(kTouchEvery, ttl_ / 6);
    } else if (!entitled()) {
      log::debug("not entitled: the state service does not answer");
    }
    runtime_.after(next, [this, epoch] {
      if (epoch == epoch_) touch();
    });
  });
}

void Election::resign() {
  if (!leading()) return;
  log::info("token {} is given up", token_);
  resigned_ = token_;
  stand_back_until_ = runtime_.now() + kStandBack;
  store_.drop_grant(grant_);
  lose();
}

void Election::succeed(std::uint64_t resigned_token) {
  if (leading() || resigned_token <= vacant_) return;
  vacant_ = resigned_token;
  leader_.clear();
  check();
}

void Election::lose() {
  log::info("no longer leading; token {} is void", token_);
  token_ = 0;
  grant_ = 0;
  leader_.clear();
  events_.lost();
  check();
}

}  // namespace asterstair::leader
