#pragma once
// Leader election. The leader key hangs on a grant of the state service; the key's version is the
// token. A node may act as leader only while it is entitled: while its grant, counted from before
// its last successful renewal was sent, is surely alive.

#include <functional>
#include <string>

#include "base/runtime.hpp"
#include "base/settings.hpp"
#include "store/records.hpp"
#include "store/store.hpp"

namespace asterstair::leader {

class Election {
 public:
  struct Events {
    std::function<void(std::uint64_t token)> elected;
    std::function<void()> lost;
  };

  Election(Runtime& runtime, store::Store& store, const Settings& settings, Events events);
  void start();

  // Gives leadership up for good: nothing is done under this token any more. A sibling that hears
  // of it may claim the key at once, see claim_resigned().
  void resign();
  // A sibling has resigned this token, so the key at that version may be claimed.
  void claim_resigned(std::uint64_t token);
  // The leader is not heard by a majority of the nodes: claims its key without waiting for its
  // grant to end. It may be entitled still, see earlier_leaders_end().
  void claim_from_silent_leader();
  // A sibling says that it leads with a higher token.
  void superseded_by(std::uint64_t token);

  bool leading() const { return token_ != 0; }
  bool entitled() const;
  std::uint64_t token() const { return token_; }
  // The latest token that this node has resigned; 0: none.
  std::uint64_t resigned() const { return resigned_; }
  // Until when, at the latest, leaders before this node's term may act on their entitlement.
  TimePoint earlier_leaders_end() const { return earlier_leaders_end_; }
  // The condition every write of the leader carries.
  wire::Condition guard() const { return {store::kLeaderKey, token_}; }
  // Last known leader, this node included; empty if unknown.
  const std::string& leader() const { return leader_; }

 private:
  // A claim that has been sent and may have been carried out.
  struct PendingClaim {
    std::uint64_t id = 0;
    std::uint64_t grant = 0;
    TimePoint sent{};
  };

  void check();
  void check_later(Duration delay);
  void on_leader_item(const wire::Item& item, std::uint64_t revision);
  void follow(std::uint64_t after);
  void claim_after(std::uint64_t version, bool contested);
  void claim(std::uint64_t expected_version, bool contested);
  void write_claim(std::uint64_t expected_version, bool contested);
  void lead(std::uint64_t token, bool contested);
  void renew();
  void touch(std::uint64_t epoch, TimePoint sent);
  void renew_after(std::uint64_t epoch, Duration delay);
  void heartbeat();
  void note_earlier_leaders_ended();
  void lose();
  TimePoint entitlement_end(TimePoint renewal_sent) const;

  Runtime& runtime_;
  store::Store& store_;
  std::string node_;
  Duration ttl_;
  Events events_;
  std::uint64_t token_ = 0, grant_ = 0;
  std::uint64_t resigned_ = 0;
  std::uint64_t resigned_by_sibling_ = 0;  // the latest
  TimePoint no_claim_before_{};            // after a resignation others are to claim first
  TimePoint next_contest_{};
  PendingClaim pending_;
  TimePoint entitled_until_{}, last_heartbeat_{}, earlier_leaders_end_{};
  // The record says that the term is contested, and not yet that the bound is over.
  bool bound_to_be_noted_ = false, noting_bound_ = false;
  std::string leader_;
  std::uint64_t leader_version_ = 0;  // of the key as another node holds it; 0: unknown
  std::uint64_t epoch_ = 0;           // answers to requests of an earlier epoch are dropped
};

}  // namespace asterstair::leader
