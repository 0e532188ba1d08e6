#include "lease/acquirer.hpp"

#include <algorithm>

#include "base/log.hpp"

namespace asterstair::lease {
namespace {

// Delay before the record is read again after a failed request. It keeps an outage from using up
// the state service's rate limit.
constexpr auto kReadRetryInterval = 400ms;
// How long one watch request waits for a change before it is sent again.
constexpr auto kWatchTimeout = 10s;
// Minimum interval between forced claims: each one has time to succeed before the next is sent.
constexpr auto kForcedClaimInterval = 3s;

}  // namespace

Acquirer::Acquirer(Runtime& runtime, store::Store& store, const Options& options,
                   OnAcquired on_acquired)
    : runtime_(runtime), store_(store), options_(options), on_acquired_(std::move(on_acquired)) {}

void Acquirer::start() {
  if (campaigning_) return;
  campaigning_ = true;
  read_record();
}

void Acquirer::stop() {
  campaigning_ = false;
  step_.cancel();
}

void Acquirer::resume() { read_record(); }

void Acquirer::claim_after_step_down(std::uint64_t token) {
  if (token <= peer_stepped_down_token_) return;
  peer_stepped_down_token_ = token;
  forget_holder();
  read_record();
}

void Acquirer::force_claim() {
  const auto now = runtime_.now();
  if (holder_version_ == 0 || now < next_forced_claim_ || now < no_claim_before_) return;
  next_forced_claim_ = now + kForcedClaimInterval;
  log::info("lease {}: forced claim, the holder {} is suspected", options_.key, holder_);
  claim(holder_version_, true);
}

void Acquirer::read_record_after(Duration delay) {
  runtime_.after(delay, step_.begin([this] { read_record(); }));
}

// Lists the record instead of reading its key, because a list returns the store's revision to watch
// from. The record's own version may be too old for that: the state service keeps a limited number
// of events, and refuses a watch from a revision before them.
void Acquirer::read_record() {
  step_.cancel();
  if (!campaigning_) return;
  store_.list(options_.key, step_.wrap([this](const store::ListResult& list) { on_list(list); }));
}

void Acquirer::on_list(const store::ListResult& list) {
  if (!list.ok) {
    read_record_after(kReadRetryInterval);
    return;
  }
  const auto item = std::find_if(list.items.begin(), list.items.end(),
                                 [this](const auto& listed) { return listed.key == options_.key; });
  if (item == list.items.end()) {
    on_missing_record();
  } else {
    on_item(*item, list.revision);
  }
}

void Acquirer::on_missing_record() {
  forget_holder();
  if (runtime_.now() < no_claim_before_) {
    read_record_after(kReadRetryInterval);
  } else {
    claim(0, false);
  }
}

void Acquirer::on_item(const wire::Item& item, std::uint64_t revision) {
  try {
    on_record(store::decode_holder(*item.value), item, revision);
  } catch (const wire::DecodeError& error) {
    // The holder is unknown, and so are the conditions on which the record may be replaced: a newer
    // version may have written it. It is never claimed, but watched until it changes or is deleted
    // with its store lease.
    log::error("lease {}: malformed record: {}", item.key, error.what());
    forget_holder();
    watch_record(revision);
  }
}

void Acquirer::on_record(const store::HolderRecord& record, const wire::Item& item,
                         std::uint64_t revision) {
  if (peer_stepped_down_token_ != 0 && item.version == peer_stepped_down_token_) {
    claim_released(item.version, record.forced);
  } else if (record.node != options_.node) {
    on_other_holder(record, item.version, revision);
  } else {
    on_own_record(record, item.version);
  }
}

void Acquirer::on_other_holder(const store::HolderRecord& record, std::uint64_t version,
                               std::uint64_t revision) {
  holder_ = record.node;
  holder_version_ = version;
  if (options_.contention_policy == ContentionPolicy::TakeOver) {
    claim(version, true);
  } else {
    watch_record(revision);
  }
}

void Acquirer::on_own_record(const store::HolderRecord& record, std::uint64_t version) {
  if (pending_.id != 0 && record.claim == pending_.id) {
    finish(version, record.forced);
  } else if (runtime_.now() < no_claim_before_) {
    read_record_after(kReadRetryInterval);
  } else {
    // An earlier process of this node held the lease. It has terminated, since a node runs one
    // process at a time. The claim changes the record's version, so late transactions of that
    // process fail.
    claim_released(version, record.forced);
  }
}

void Acquirer::watch_record(std::uint64_t after) {
  using Outcome = store::WatchResult::Outcome;
  store_.watch(options_.key, after, kWatchTimeout,
               step_.begin([this, after](const store::WatchResult& result) {
                 if (result.outcome == Outcome::Events && result.events.items.empty()) {
                   watch_record(std::max(after, result.events.revision));
                 } else if (result.outcome == Outcome::Unavailable) {
                   read_record_after(kReadRetryInterval);
                 } else {
                   read_record();
                 }
               }));
}

// Claims the record at this version, whose holder has stepped down or terminated. If that holder's
// claim was forced, the leases of holders before it may still be valid, unless it has recorded that
// they have expired.
void Acquirer::claim_released(std::uint64_t version, bool forced) {
  if (!forced || options_.expiry_record_key.empty()) {
    claim(version, forced);
    return;
  }
  store_.get_unqueued(options_.expiry_record_key,
                      step_.begin([this, version](const store::ReadResult& result) {
                        claim(version, !is_expiry_recorded(result, version));
                      }));
}

// Whether the expiry record names this version. False if the record is missing, malformed or could
// not be read.
bool Acquirer::is_expiry_recorded(const store::ReadResult& result, std::uint64_t version) const {
  if (result.outcome != store::ReadOutcome::Found) return false;
  try {
    return store::decode_previous_holders_expired(*result.item.value) == version;
  } catch (const wire::DecodeError& error) {
    log::error("{}: malformed record: {}", options_.expiry_record_key, error.what());
    return false;
  }
}

void Acquirer::claim(std::uint64_t expected_version, bool forced) {
  const auto sent_at = runtime_.now();
  store_.create_store_lease(
      options_.ttl, step_.begin([this, sent_at, expected_version,
                                 forced](std::optional<std::uint64_t> store_lease) {
        if (!store_lease) {
          read_record_after(kReadRetryInterval);
          return;
        }
        pending_ = {runtime_.rng()() >> 1U, *store_lease, sent_at, expected_version, forced};
        write_claim();
      }));
}

void Acquirer::write_claim() {
  wire::Txn txn;
  if (options_.claim_conditions) txn.conditions = options_.claim_conditions();
  txn.conditions.push_back({options_.key, pending_.expected_version});
  txn.changes.push_back({options_.key,
                         store::encode_holder({options_.node, pending_.id, pending_.forced}),
                         pending_.store_lease});
  store_.write(std::move(txn), store::Urgency::User,
               step_.wrap([this](const store::WriteResult& result) { on_claim_written(result); }));
}

void Acquirer::on_claim_written(const store::WriteResult& result) {
  if (result.outcome == store::WriteOutcome::Committed) {
    finish(result.revision, pending_.forced);
    return;
  }
  if (result.outcome != store::WriteOutcome::Conflict) {
    // The write may have been executed. The record shows whether it was.
    read_record_after(kReadRetryInterval);
    return;
  }
  store_.revoke_store_lease(pending_.store_lease);
  if (options_.claim_conditions) {
    // The conflict may come from the owner's conditions, which may hold again later.
    read_record_after(kReadRetryInterval);
  } else {
    read_record();
  }
}

void Acquirer::finish(std::uint64_t token, bool forced) {
  const AcquiredClaim claim{token, pending_.store_lease, pending_.sent_at, forced};
  step_.cancel();
  pending_ = {};
  forget_holder();
  on_acquired_(claim);
}

void Acquirer::forget_holder() {
  holder_.clear();
  holder_version_ = 0;
}

}  // namespace asterstair::lease
