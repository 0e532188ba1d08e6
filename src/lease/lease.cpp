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
// So long a node that has resigned leaves the record to its peers.
constexpr auto kOthersFirst = 5s;
constexpr auto kPauseCheckInterval = 250ms;
// A process that has stood still for longer may have been taken for silent by its peers: it
// renews before it acts again.
constexpr auto kMaxPause = 3s;

}  // namespace

Lease::Lease(Runtime& runtime, store::Store& store, Options options, Events events)
    : runtime_(runtime), store_(store), options_(std::move(options)), events_(std::move(events)) {}

bool Lease::lease_valid() const {
  const auto now = runtime_.now();
  return held() && now < valid_until_ && now - last_pause_check_ <= kMaxPause;
}

TimePoint Lease::validity_end(TimePoint renewal_sent) const {
  return renewal_sent + to_duration(Seconds(seconds(options_.ttl) * (1 - kClockDrift))) - kMargin;
}

void Lease::acquire(std::uint64_t token, bool forced) {
  const auto now = runtime_.now();
  token_ = token;
  store_lease_ = pending_.store_lease;
  holder_ = options_.node;
  holder_version_ = 0;
  valid_until_ = validity_end(pending_.sent);
  pending_ = {};
  last_pause_check_ = now;
  // An earlier holder has renewed before this claim was carried out, if at all: see renew().
  previous_holders_expiry_ = now;
  if (forced) {
    previous_holders_expiry_ += to_duration(Seconds(seconds(options_.ttl) * (1 + kClockDrift)));
  }
  expiry_unrecorded_ = forced && !options_.expiry_record_key.empty();
  recording_expiry_ = false;
  events_.acquired(token_, forced);
  check_for_pause();
  renew();
}

// The key is read before the grant is touched, and the lease validity counted from before both: a
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
  store_.renew_store_lease(store_lease_, [this, generation, sent](store::StoreLeaseOutcome r) {
    if (generation != generation_) return;
    if (r == store::StoreLeaseOutcome::Gone) {
      lose();
      return;
    }
    if (r == store::StoreLeaseOutcome::Unavailable) {
      renew_after(generation, kRenewRetry);
      return;
    }
    const bool resumed = !lease_valid();
    valid_until_ = validity_end(sent);
    if (resumed && lease_valid()) {
      log::info("lease {}: valid again with token {}", options_.key, token_);
    }
    renew_after(generation, std::min<Duration>(kRenewEvery, options_.ttl / 6));
  });
}

void Lease::renew_after(std::uint64_t generation, Duration delay) {
  if (!lease_valid()) {
    log::debug("lease {}: not valid, its store lease has not been renewed", options_.key);
  }
  runtime_.after(delay, [this, generation] {
    if (generation == generation_) renew();
  });
}

// A process may stand still and find its timers and sockets as it left them. What its peers
// have done meanwhile it learns from the state service only.
void Lease::check_for_pause() {
  const auto now = runtime_.now();
  const bool paused = now - last_pause_check_ > kMaxPause;
  last_pause_check_ = now;
  if (paused) {
    log::info("stood still; lease {} is used again only once it is renewed", options_.key);
    valid_until_ = {};
    renew();
  }
  record_previous_holders_expired();
  runtime_.after(kPauseCheckInterval, [this, token = token_] {
    if (token == token_) check_for_pause();
  });
}

// Without it every term after a forced one would be taken for forced as well, and wait for
// machines that are not heard for longer than it must.
void Lease::record_previous_holders_expired() {
  if (!expiry_unrecorded_ || recording_expiry_ || !lease_valid()) return;
  if (runtime_.now() < previous_holders_expiry_) return;
  recording_expiry_ = true;
  wire::Txn txn;
  txn.conditions.push_back(guard());
  txn.changes.push_back(
      {options_.expiry_record_key, store::encode_previous_holders_expired(token_)});
  store_.write(std::move(txn), store::Urgency::Lazy,
               [this, token = token_](const store::WriteResult& r) {
                 if (token != token_) return;
                 recording_expiry_ = false;
                 if (r.outcome == store::WriteOutcome::Committed) expiry_unrecorded_ = false;
               });
}

void Lease::withdraw() {
  campaigning_ = false;
  if (!held()) {
    ++generation_;  // a claim under way is not followed up
    return;
  }
  log::info("lease {}: token {} is given up", options_.key, token_);
  store_.revoke_store_lease(store_lease_);
  lose();
}

void Lease::step_down() {
  if (!held()) return;
  log::info("lease {}: token {} is given up", options_.key, token_);
  const auto now = runtime_.now();
  stepped_down_token_ = token_;
  no_claim_before_ = now + kOthersFirst;
  // The key tells that an earlier holder may be holding a valid lease still; with the grant it
  // would vanish.
  if (now >= previous_holders_expiry_) store_.revoke_store_lease(store_lease_);
  lose();
}

void Lease::on_higher_token(std::uint64_t token) {
  if (held() && token > token_) lose();
}

void Lease::lose() {
  log::info("lease {}: no longer held; token {} is void", options_.key, token_);
  token_ = 0;
  store_lease_ = 0;
  holder_.clear();
  holder_version_ = 0;
  events_.lost();
  check();
}

}  // namespace asterstair::lease
