// How a lease is held: renewed, counted, given up and lost.

#include "lease/lease.hpp"

#include <algorithm>

#include "base/log.hpp"

namespace asterstair::lease {
namespace {

// Room for the steps between deciding and the packet leaving.
constexpr auto kMargin = 300ms;
constexpr auto kRenewEvery = 2s;
constexpr auto kRenewRetry = 300ms;
// So long a node that has resigned leaves the record to its siblings.
constexpr auto kOthersFirst = 5s;
constexpr auto kPauseCheckInterval = 250ms;
// A process that has stood still for longer may have been taken for silent by its siblings: it
// renews before it acts again.
constexpr auto kMaxPause = 3s;

}  // namespace

Lease::Lease(Runtime& runtime, store::Store& store, Options options, Events events)
    : runtime_(runtime), store_(store), options_(std::move(options)), events_(std::move(events)) {}

bool Lease::entitled() const {
  const auto now = runtime_.now();
  return held() && now < entitled_until_ && now - last_pause_check_ <= kMaxPause;
}

TimePoint Lease::entitlement_end(TimePoint renewal_sent) const {
  return renewal_sent + to_duration(Seconds(seconds(options_.ttl) * (1 - kClockDrift))) - kMargin;
}

void Lease::acquire(std::uint64_t token, bool contested) {
  const auto now = runtime_.now();
  token_ = token;
  grant_ = pending_.grant;
  holder_ = options_.node;
  holder_version_ = 0;
  entitled_until_ = entitlement_end(pending_.sent);
  pending_ = {};
  last_pause_check_ = now;
  // An earlier holder has renewed before this claim was carried out, if at all: see renew().
  earlier_holders_end_ = now;
  if (contested) {
    earlier_holders_end_ += to_duration(Seconds(seconds(options_.ttl) * (1 + kClockDrift)));
  }
  bound_to_be_noted_ = contested && !options_.bound_note_key.empty();
  noting_bound_ = false;
  events_.acquired(token_, contested);
  check_for_pause();
  renew();
}

// The key is read before the grant is touched, and the entitlement counted from before both: a
// claim by another node comes after the read, so it ends within the ttl of any such claim, although
// the grant itself may be touched for longer.
void Lease::renew() {
  const auto generation = ++generation_;
  const auto sent = runtime_.now();
  store_.get_now(options_.key, [this, generation, sent](const store::ReadResult& r) {
    if (generation != generation_) return;
    if (r.outcome == store::ReadOutcome::Unavailable) {
      renew_after(generation, kRenewRetry);
    } else if (r.outcome == store::ReadOutcome::Missing || r.item.version != token_) {
      lose();
    } else {
      touch(generation, sent);
    }
  });
}

void Lease::touch(std::uint64_t generation, TimePoint sent) {
  store_.touch_grant(grant_, [this, generation, sent](store::GrantOutcome r) {
    if (generation != generation_) return;
    if (r == store::GrantOutcome::Gone) {
      lose();
      return;
    }
    if (r == store::GrantOutcome::Unavailable) {
      renew_after(generation, kRenewRetry);
      return;
    }
    const bool resumed = !entitled();
    entitled_until_ = entitlement_end(sent);
    if (resumed && entitled()) {
      log::info("lease {}: entitled again with token {}", options_.key, token_);
    }
    renew_after(generation, std::min<Duration>(kRenewEvery, options_.ttl / 6));
  });
}

void Lease::renew_after(std::uint64_t generation, Duration delay) {
  if (!entitled()) {
    log::debug("lease {}: not entitled, the grant has not been renewed", options_.key);
  }
  runtime_.after(delay, [this, generation] {
    if (generation == generation_) renew();
  });
}

// A process may stand still and find its timers and sockets as it left them. What its siblings
// have done meanwhile it learns from the state service only.
void Lease::check_for_pause() {
  const auto now = runtime_.now();
  const bool paused = now - last_pause_check_ > kMaxPause;
  last_pause_check_ = now;
  if (paused) {
    log::info("stood still; lease {} is used again only once it is renewed", options_.key);
    entitled_until_ = {};
    renew();
  }
  note_earlier_holders_ended();
  runtime_.after(kPauseCheckInterval, [this, token = token_] {
    if (token == token_) check_for_pause();
  });
}

// Without it every term after a contested one would be taken for contested as well, and wait for
// machines that are not heard for longer than it must.
void Lease::note_earlier_holders_ended() {
  if (!bound_to_be_noted_ || noting_bound_ || !entitled()) return;
  if (runtime_.now() < earlier_holders_end_) return;
  noting_bound_ = true;
  wire::Txn txn;
  txn.conditions.push_back(guard());
  txn.changes.push_back({options_.bound_note_key, store::encode_earlier_holders_ended(token_)});
  store_.write(std::move(txn), store::Urgency::Lazy,
               [this, token = token_](const store::WriteResult& r) {
                 if (token != token_) return;
                 noting_bound_ = false;
                 if (r.outcome == store::WriteOutcome::Committed) bound_to_be_noted_ = false;
               });
}

void Lease::withdraw() {
  campaigning_ = false;
  if (!held()) {
    ++generation_;  // a claim under way is not followed up
    return;
  }
  log::info("lease {}: token {} is given up", options_.key, token_);
  store_.drop_grant(grant_);
  lose();
}

void Lease::resign() {
  if (!held()) return;
  log::info("lease {}: token {} is given up", options_.key, token_);
  const auto now = runtime_.now();
  resigned_ = token_;
  no_claim_before_ = now + kOthersFirst;
  // The key tells that an earlier holder may be entitled still; with the grant it would vanish.
  if (now >= earlier_holders_end_) store_.drop_grant(grant_);
  lose();
}

void Lease::superseded_by(std::uint64_t token) {
  if (held() && token > token_) lose();
}

void Lease::lose() {
  log::info("lease {}: no longer held; token {} is void", options_.key, token_);
  token_ = 0;
  grant_ = 0;
  holder_.clear();
  holder_version_ = 0;
  events_.lost();
  check();
}

}  // namespace asterstair::lease
