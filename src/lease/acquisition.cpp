// How a lease is acquired: the record is read, followed while another node holds it, and claimed by
// a conditional write on a grant of this node.

#include <algorithm>

#include "base/log.hpp"
#include "lease/lease.hpp"

namespace asterstair::lease {
namespace {

constexpr auto kCheckRetry = 400ms;
constexpr auto kWatchWait = 10s;
// An attempt to claim the record of a silent holder is repeated no sooner.
constexpr auto kForcedClaimInterval = 3s;

}  // namespace

void Lease::campaign() {
  if (campaigning_) return;
  campaigning_ = true;
  check();
}

void Lease::check_later(Duration delay) {
  const auto generation = ++generation_;
  runtime_.after(delay, [this, generation] {
    if (generation == generation_) check();
  });
}

void Lease::check() {
  const auto generation = ++generation_;
  if (!campaigning_) return;
  // Listed, not read by its name: a list tells the revision to watch from. The key's own version
  // falls out of what the service remembers once enough else has changed, and a watch from there
  // is turned away each time.
  store_.list(options_.key, [this, generation](const store::ListResult& r) {
    if (generation != generation_ || held()) return;
    if (!r.ok) {
      check_later(kCheckRetry);
      return;
    }
    const auto item = std::find_if(r.items.begin(), r.items.end(),
                                   [this](const auto& i) { return i.key == options_.key; });
    if (item != r.items.end()) {
      on_item(*item, r.revision);
      return;
    }
    holder_.clear();
    holder_version_ = 0;
    if (runtime_.now() < no_claim_before_) {
      check_later(kCheckRetry);
    } else {
      claim(0, false);
    }
  });
}

void Lease::on_item(const wire::Item& item, std::uint64_t revision) {
  store::HolderRecord record;
  try {
    record = store::decode_holder(*item.value);
  } catch (const wire::DecodeError& e) {
    // Nobody's as far as can be told: followed until it changes or vanishes, never overwritten.
    log::error("lease record {} is malformed: {}", item.key, e.what());
    record = {};
    record.forced = true;
  }
  on_record(record, item, revision);
}

void Lease::on_record(const store::HolderRecord& record, const wire::Item& item,
                      std::uint64_t revision) {
  if (peer_stepped_down_token_ != 0 && item.version == peer_stepped_down_token_) {
    claim_after(item.version, record.forced);
    return;
  }
  if (record.node != options_.node) {
    holder_ = record.node;
    holder_version_ = item.version;
    if (options_.contention_policy == ContentionPolicy::TakeOver && !holder_.empty()) {
      claim(item.version, true);
    } else {
      follow(revision);
    }
    return;
  }
  if (pending_.id != 0 && record.claim == pending_.id) {
    acquire(item.version, record.forced);
  } else if (runtime_.now() < no_claim_before_) {
    check_later(kCheckRetry);
  } else {
    // An earlier process of this node held it, and has ended: a node runs one process. The claim
    // writes the key, so late transactions of that process fail.
    claim_after(item.version, record.forced);
  }
}

void Lease::follow(std::uint64_t after) {
  const auto generation = ++generation_;
  store_.watch(options_.key, after, kWatchWait,
               [this, generation, after](const store::WatchResult& r) {
                 if (generation != generation_) return;
                 if (r.outcome == store::WatchResult::Outcome::Events && r.events.items.empty()) {
                   follow(std::max(after, r.events.revision));
                 } else if (r.outcome == store::WatchResult::Outcome::Unavailable) {
                   check_later(kCheckRetry);
                 } else {
                   check();
                 }
               });
}

// Claims from the term with this version, whose holder has resigned or ended. If that term was
// forced, holders before it may be holding a valid lease still, unless its holder has noted that
// they are not.
void Lease::claim_after(std::uint64_t version, bool forced) {
  if (!forced || options_.expiry_record_key.empty()) {
    claim(version, forced);
    return;
  }
  const auto generation = ++generation_;
  store_.get_now(options_.expiry_record_key,
                 [this, generation, version](const store::ReadResult& r) {
                   if (generation != generation_) return;
                   bool ended = false;
                   if (r.outcome == store::ReadOutcome::Found) {
                     try {
                       ended = store::decode_previous_holders_expired(*r.item.value) == version;
                     } catch (const wire::DecodeError& e) {
                       log::error("{} is malformed: {}", options_.expiry_record_key, e.what());
                     }
                   }
                   claim(version, !ended);
                 });
}

// `forced`: whether a holder before this claim may be holding a valid lease still.
void Lease::claim(std::uint64_t expected_version, bool forced) {
  const auto generation = ++generation_;
  const auto sent = runtime_.now();
  store_.create_store_lease(options_.ttl, [this, generation, sent, expected_version,
                                           forced](std::optional<std::uint64_t> store_lease) {
    if (generation != generation_) return;
    if (!store_lease) {
      check_later(kCheckRetry);
      return;
    }
    pending_ = {runtime_.rng()() >> 1U, *store_lease, sent};
    write_claim(expected_version, forced);
  });
}

void Lease::write_claim(std::uint64_t expected_version, bool forced) {
  wire::Txn txn;
  if (options_.claim_conditions) txn.conditions = options_.claim_conditions();
  txn.conditions.push_back({options_.key, expected_version});
  txn.changes.push_back({options_.key, store::encode_holder({options_.node, pending_.id, forced}),
                         pending_.store_lease});
  store_.write(std::move(txn), store::Urgency::User,
               [this, generation = generation_, forced](const store::WriteResult& r) {
                 if (generation != generation_) return;
                 if (r.outcome == store::WriteOutcome::Committed) {
                   acquire(r.revision, forced);
                 } else if (r.outcome == store::WriteOutcome::Conflict) {
                   store_.revoke_store_lease(pending_.store_lease);
                   if (options_.claim_conditions) {
                     check_later(kCheckRetry);  // they may be what does not hold
                   } else {
                     check();
                   }
                 } else {
                   check_later(kCheckRetry);  // reading the key tells whether it was carried out
                 }
               });
}

void Lease::claim_after_step_down(std::uint64_t token) {
  if (held() || token <= peer_stepped_down_token_) return;
  peer_stepped_down_token_ = token;
  holder_.clear();
  holder_version_ = 0;
  check();
}

void Lease::force_claim() {
  const auto now = runtime_.now();
  if (held() || holder_version_ == 0 || now < next_forced_claim_ || now < no_claim_before_) return;
  next_forced_claim_ = now + kForcedClaimInterval;
  log::info("{} has fallen silent; its lease {} is claimed", holder_, options_.key);
  claim(holder_version_, true);
}

}  // namespace asterstair::lease
