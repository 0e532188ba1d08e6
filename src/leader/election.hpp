#pragma once
// Who leads. The leader key hangs on a grant; the key's version is the token. A node may act only
// while its grant, counted from when its last successful touch was sent, is surely alive.

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
  // of it may take the key over at once, see succeed().
  void resign();
  // A sibling has given up this token, so the key at that version may be claimed.
  void succeed(std::uint64_t resigned_token);
  std::uint64_t resigned() const { return resigned_; }

  bool leading() const { return token_ != 0; }
  bool entitled() const { return leading() && runtime_.now() < entitled_until_; }
  std::uint64_t token() const { return token_; }
  // The condition every write of the leader carries.
  wire::Condition guard() const { return {store::kLeaderKey, token_}; }
  // Last known leader, this node included; empty if unknown.
  const std::string& leader() const { return leader_; }

 private:
  void check();
  void check_later(Duration delay);
  void follow(std::uint64_t after);
  void claim(std::uint64_t expected_version);
  void lead(std::uint64_t token, std::uint64_t grant, TimePoint touched);
  void touch();
  void lose();

  Runtime& runtime_;
  store::Store& store_;
  std::string node_;
  Duration ttl_;
  Events events_;
  std::uint64_t token_ = 0, grant_ = 0;
  std::uint64_t resigned_ = 0;    // the latest that this node has given up
  std::uint64_t vacant_ = 0;      // the latest that a sibling has
  TimePoint stand_back_until_{};  // others are to claim first
  std::uint64_t pending_claim_ = 0, pending_grant_ = 0;
  TimePoint pending_since_{}, entitled_until_{};
  std::string leader_;
  std::uint64_t epoch_ = 0;  // answers to requests of an earlier state of affairs are dropped
};

}  // namespace asterstair::leader
