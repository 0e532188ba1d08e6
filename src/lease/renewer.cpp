#include "lease/renewer.hpp"

#include <algorithm>

#include "base/log.hpp"

namespace asterstair::lease {
namespace {

// Taken off the validity: covers the steps between deciding and the packet leaving.
constexpr auto kValidityMargin = 300ms;
// Pause between renewals, or a sixth of the ttl if that is shorter: several may fail before the
// lease expires.
constexpr auto kRenewInterval = 2s;
constexpr int kRenewalsPerTtl = 6;
// Pause after a failed renewal.
constexpr auto kRenewRetryInterval = 300ms;
constexpr auto kPauseCheckInterval = 250ms;
// A process that was paused for longer may be suspected by its peers: it renews before it acts
// again. Shorter than the timeout after which a majority forces a failover.
constexpr auto kMaxPause = 3s;

}  // namespace

Renewer::Renewer(Runtime& runtime, store::Store& store, const Options& options,
                 std::function<void()> on_lost)
    : runtime_(runtime),
      store_(store),
      options_(options),
      on_lost_(std::move(on_lost)),
      previous_holders_(runtime, store, options) {}

bool Renewer::lease_valid() const {
  const auto now = runtime_.now();
  return held() && now < valid_until_ && now - last_pause_check_ <= kMaxPause;
}

TimePoint Renewer::validity_end(TimePoint renewal_sent_at) const {
  return renewal_sent_at + to_duration(Seconds(seconds(options_.ttl) * (1 - kClockDrift))) -
         kValidityMargin;
}

void Renewer::begin_term(const AcquiredClaim& claim) {
  token_ = claim.token;
  store_lease_ = claim.store_lease;
  valid_until_ = validity_end(claim.sent_at);
  last_pause_check_ = runtime_.now();
  previous_holders_.begin_term(claim.token, claim.forced);
}

void Renewer::start() {
  check_for_pause();
  renew();
}

// The record is read before the store lease is renewed, and the validity is counted from before
// both. A claim by another node comes after the last read that showed this token, so this lease
// expires within the ttl of any such claim, although the store lease itself may be renewed for
// longer.
void Renewer::renew() {
  const auto sent_at = runtime_.now();
  store_.get_unqueued(options_.key,
                      renewal_.begin([this, sent_at](const store::ReadResult& result) {
                        on_record_read(result, sent_at);
                      }));
}

void Renewer::on_record_read(const store::ReadResult& result, TimePoint sent_at) {
  if (result.outcome == store::ReadOutcome::Unavailable) {
    renew_after(kRenewRetryInterval);
  } else if (result.outcome == store::ReadOutcome::Missing || result.item.version != token_) {
    lose();
  } else {
    renew_store_lease(sent_at);
  }
}

void Renewer::renew_store_lease(TimePoint sent_at) {
  store_.renew_store_lease(store_lease_,
                           renewal_.join([this, sent_at](store::StoreLeaseOutcome outcome) {
                             switch (outcome) {
                               case store::StoreLeaseOutcome::NotFound:
                                 lose();
                                 return;
                               case store::StoreLeaseOutcome::Unavailable:
                                 renew_after(kRenewRetryInterval);
                                 return;
                               case store::StoreLeaseOutcome::Renewed:
                                 on_store_lease_renewed(sent_at);
                                 return;
                             }
                           }));
}

void Renewer::on_store_lease_renewed(TimePoint sent_at) {
  const bool was_valid = lease_valid();
  valid_until_ = validity_end(sent_at);
  if (!was_valid && lease_valid()) {
    log::info("lease {}: valid again with token {}", options_.key, token_);
  }
  renew_after(std::min<Duration>(kRenewInterval, options_.ttl / kRenewalsPerTtl));
}

void Renewer::renew_after(Duration delay) {
  if (!lease_valid()) {
    log::debug("lease {}: expired, its store lease has not been renewed", options_.key);
  }
  runtime_.after(delay, renewal_.join([this] { renew(); }));
}

// A process may be paused and find its timers and sockets as it left them. Only the state service
// tells what its peers have done meanwhile.
void Renewer::check_for_pause() {
  const auto now = runtime_.now();
  const bool paused = now - last_pause_check_ > kMaxPause;
  last_pause_check_ = now;
  if (paused) {
    log::info("lease {}: the process was paused; expired until the next renewal", options_.key);
    valid_until_ = {};
    renew();
  }
  previous_holders_.record_when_expired(lease_valid());
  runtime_.after(kPauseCheckInterval, pause_check_.begin([this] { check_for_pause(); }));
}

void Renewer::withdraw() {
  log::info("lease {}: token {} is withdrawn", options_.key, token_);
  store_.revoke_store_lease(store_lease_);
  lose();
}

void Renewer::step_down() {
  log::info("lease {}: stepping down from token {}", options_.key, token_);
  // The record tells that a previous holder's lease may be valid. It would vanish with the store
  // lease.
  if (runtime_.now() >= previous_holders_.expiry()) store_.revoke_store_lease(store_lease_);
  lose();
}

void Renewer::lose() {
  log::info("lease {}: no longer held; token {} is void", options_.key, token_);
  token_ = 0;
  store_lease_ = 0;
  renewal_.cancel();
  pause_check_.cancel();
  previous_holders_.end_term();
  on_lost_();
}

}  // namespace asterstair::lease
