#pragma once
// The way to the state service: its address, what is left of the request limit, and whether it
// answers. Shared by everything that asks it.

#include <string>

#include "base/runtime.hpp"
#include "store/budget.hpp"

namespace asterstair::store {

// After the answer 429 the other nodes are let through for so long.
inline constexpr auto kRefusedPause = 150ms;

class Link {
 public:
  Link(Runtime& runtime, std::string address, Budget requests)
      : requests(requests), runtime_(runtime), address_(std::move(address)) {}

  // Sends a request that has been taken from the budget; notes how it is answered.
  void send(HttpRequest request, Duration timeout, HttpCallback done);
  // The same for one that must not wait, such as renewing the leader's grant.
  void send_now(HttpRequest request, Duration timeout, HttpCallback done);
  // An open watch waits silently through an outage: only its answers count.
  void send_watch(HttpRequest request, Duration timeout, HttpCallback done);

  // Whether requests have failed for a while with none served in between.
  bool seems_down() const;
  // Since when requests have failed, with none served in between; the epoch if they have not.
  TimePoint failing_since() const { return failing_since_; }
  TimePoint last_answer() const { return last_answer_; }
  bool answered_within(Duration within) const;

  Runtime& runtime() { return runtime_; }
  TimePoint now() const { return runtime_.now(); }

  Budget requests;

 private:
  void note(int status);
  void note_refusal();

  Runtime& runtime_;
  std::string address_;
  TimePoint last_answer_{}, failing_since_{}, refusals_told_at_{};
  std::uint64_t refused_ = 0;
};

}  // namespace asterstair::store
