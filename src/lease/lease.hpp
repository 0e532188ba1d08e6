#pragma once
// A named lease in the state service. Its record hangs on a grant; the record's version is the
// fencing token. The holder may act only while it is holding a valid lease: while its grant,
// counted from before its last successful renewal was sent, is surely alive.

#include <functional>
#include <string>

#include "base/runtime.hpp"
#include "store/records.hpp"
#include "store/store.hpp"

namespace asterstair::lease {

// What a candidate does about a lease that another node holds.
enum class ContentionPolicy {
  Wait,     // until the record vanishes with its grant, or the holder is known to have given it up
  TakeOver  // at once: what the holder may still do must be harmless, see docs/design
};

struct Options {
  std::string key;   // of the lease's record
  std::string node;  // the candidate
  Duration ttl{};    // of the grant
  ContentionPolicy contention_policy = ContentionPolicy::Wait;
  // Further conditions of a claim; none if empty.
  std::function<std::vector<wire::Condition>()> claim_conditions{};
  // Key of the note that all holders before a forced term have lost their lease validity; empty: no
  // such note is kept.
  std::string expiry_record_key{};
};

struct Events {
  std::function<void(std::uint64_t token, bool forced)> acquired;
  std::function<void()> lost;
};

class Lease {
 public:
  Lease(Runtime& runtime, store::Store& store, Options options, Events events);

  // Tries to acquire the lease, and again whenever it is lost, until withdraw().
  void campaign();
  // Gives the lease up, if it is held, and tries no more.
  void withdraw();
  // Gives the lease up for good: nothing is done under this token any more. This node claims again
  // only after some seconds: the others go first.
  void step_down();

  // A peer has resigned this token, so the record at that version may be claimed.
  void claim_after_step_down(std::uint64_t token);
  // The holder is not heard by a majority of the nodes: claims its record without waiting for its
  // grant to end. It may be holding a valid lease still, see previous_holders_expiry().
  void force_claim();
  // A peer says that it holds the lease with a higher token.
  void on_higher_token(std::uint64_t token);

  bool held() const { return token_ != 0; }
  bool lease_valid() const;
  std::uint64_t token() const { return token_; }
  // The latest token that this node has resigned; 0: none.
  std::uint64_t stepped_down_token() const { return stepped_down_token_; }
  // Until when, at the latest, holders before this node's term may act on their lease validity.
  TimePoint previous_holders_expiry() const { return previous_holders_expiry_; }
  // The condition every write of the holder carries.
  wire::Condition guard() const { return {options_.key, token_}; }
  // Last known holder, this node included; empty if unknown.
  const std::string& holder() const { return holder_; }

 private:
  // A claim that has been sent and may have been carried out.
  struct PendingClaim {
    std::uint64_t id = 0;
    std::uint64_t store_lease = 0;
    TimePoint sent{};
  };

  // Acquisition, in acquisition.cpp.
  void check();
  void check_later(Duration delay);
  void on_item(const wire::Item& item, std::uint64_t revision);
  void on_record(const store::HolderRecord& record, const wire::Item& item, std::uint64_t revision);
  void follow(std::uint64_t after);
  void claim_after(std::uint64_t version, bool forced);
  void claim(std::uint64_t expected_version, bool forced);
  void write_claim(std::uint64_t expected_version, bool forced);
  void acquire(std::uint64_t token, bool forced);

  // ResourceUsage, in lease.cpp.
  void renew();
  void touch(std::uint64_t generation, TimePoint sent);
  void renew_after(std::uint64_t generation, Duration delay);
  void check_for_pause();
  void record_previous_holders_expired();
  void lose();
  TimePoint validity_end(TimePoint renewal_sent) const;

  Runtime& runtime_;
  store::Store& store_;
  Options options_;
  Events events_;
  bool campaigning_ = false;
  std::uint64_t token_ = 0, store_lease_ = 0;
  std::uint64_t stepped_down_token_ = 0;
  std::uint64_t peer_stepped_down_token_ = 0;  // the latest
  TimePoint no_claim_before_{};                // after a resignation others are to claim first
  TimePoint next_forced_claim_{};
  PendingClaim pending_;
  TimePoint valid_until_{}, last_pause_check_{}, previous_holders_expiry_{};
  // The record says that the term is forced, and not yet that the bound is over.
  bool expiry_unrecorded_ = false, recording_expiry_ = false;
  std::string holder_;
  std::uint64_t holder_version_ = 0;  // of the record as another node holds it; 0: unknown
  std::uint64_t generation_ = 0;      // answers to requests of an earlier generation are dropped
};

}  // namespace asterstair::lease
