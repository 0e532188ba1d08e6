#include "lease/renewer.hpp"

#include <algorithm>

#include "base/log.hpp"

namespace asterstair::lease {
namespace {

// Subtracted from the validity: covers the time between the check of the lease and the sending of
// the packet.
constexpr auto kValidityMargin = 300ms;
// Interval between renewals, or a sixth of the ttl if that is shorter. Several renewals may fail
// before the lease expires.
constexpr auto kRenewInterval = 2s;
constexpr int kRenewalsPerTtl = 6;
// Delay before a failed renewal is repeated.
constexpr auto kRenewRetryInterval = 300ms;
// Interval of the check whether the process was paused.
constexpr auto kPauseCheckInterval = 250ms;
// After a longer pause the lease counts as expired until the next renewal, because the peers may
// suspect this node by then. Shorter than the timeout after which a majority forces a failover.
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
  confirmed_at_ = claim.sent_at;
  last_pause_check_ = runtime_.now();
  previous_holders_.begin_term(claim.token, claim.forced);
}

void Renewer::start() {
  check_for_pause();
  renew();
}

// Reads the record, then renews the store lease. The validity is counted from before both requests.
// Another node's claim is executed after the last read that found this node's token. This lease
// therefore expires within one ttl after the claim, although the store lease itself may be renewed
// for longer.
void Renewer::renew() {
  const auto sent_at = runtime_.now();
  store_.get_unqueued(options_.key,
                      renewal_.begin([this, sent_at](const store::ReadResult& result) {
                        on_record_read(result, sent_at);
                      }));
}

void Renewer::on_record_read(const store::ReadResult& result, TimePoint sent_at) {
  if (!check_record(result, sent_at)) return;
  if (result.outcome == store::ReadOutcome::Unavailable) {
    renew_after(kRenewRetryInterval);
  } else {
    renew_store_lease(sent_at);
  }
}

// Evaluates a read of the record. Returns false if the lease is lost.
bool Renewer::check_record(const store::ReadResult& result, TimePoint sent_at) {
  if (result.outcome == store::ReadOutcome::Unavailable) return true;
  if (result.outcome == store::ReadOutcome::Missing || result.item.version != token_) {
    lose();
    return false;
  }
  confirmed_at_ = std::max(confirmed_at_, sent_at);
  return true;
}

void Renewer::confirm(std::function<void()> done) {
  auto on_read = [this, done = std::move(done),
                  sent_at = runtime_.now()](const store::ReadResult& result) {
    if (check_record(result, sent_at)) done();
  };
  store_.get_unqueued(options_.key, confirmation_.begin(std::move(on_read)));
}

void Renewer::renew_store_lease(TimePoint sent_at) {
  store_.renew_store_lease(store_lease_,
                           renewal_.wrap([this, sent_at](store::StoreLeaseOutcome outcome) {
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
  runtime_.after(delay, renewal_.wrap([this] { renew(); }));
}

// A process that was paused finds its timers and sockets unchanged when it resumes. Only the state
// service shows what its peers have done in the meantime.
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
  // Revoking the store lease deletes the record. Until the previous holders' leases have expired,
  // the record is kept, because it tells the next claim that they may be valid.
  if (runtime_.now() >= previous_holders_.expiry()) store_.revoke_store_lease(store_lease_);
  lose();
}

void Renewer::lose() {
  log::info("lease {}: no longer held; token {} is void", options_.key, token_);
  token_ = 0;
  store_lease_ = 0;
  renewal_.cancel();
  pause_check_.cancel();
  confirmation_.cancel();
  previous_holders_.end_term();
  on_lost_();
}

}  // namespace asterstair::lease
