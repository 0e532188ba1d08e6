#pragma once
// Transactions, within the limits on requests and changes. Several that do not touch one another
// travel as one (group commit).

#include <array>
#include <deque>
#include <functional>
#include <vector>

#include "store/link.hpp"
#include "store/results.hpp"
#include "store/wake_timer.hpp"

namespace asterstair::store {

// Lower goes first. Order: what must be durable before the cloud is asked; few, and a boot waits.
enum class Urgency { Order, User, Final, Start, Lazy };
inline constexpr std::size_t kUrgencies = 5;

class WriteQueue {
 public:
  // `most_bytes` bounds what waits, for each urgency apart.
  WriteQueue(Link& link, Budget changes, std::size_t txn_ops, std::size_t most_bytes)
      : link_(link),
        changes_(changes),
        txn_ops_(txn_ops),
        most_bytes_(most_bytes),
        wake_(link.runtime(), [this] { pump(); }) {}

  // Given up, as NotDone, if it cannot be sent for long.
  void write(wire::Txn txn, Urgency urgency, std::function<void(WriteResult)> done);

 private:
  struct Write {
    wire::Txn txn;
    std::size_t size = 0;
    TimePoint give_up;
    bool alone = false;  // not to be joined with others
    std::function<void(WriteResult)> done;
  };
  struct Queue {
    std::deque<Write> writes;
    std::size_t bytes = 0;
  };
  using Batch = std::vector<Write>;
  class Joined;

  void pump();
  bool pump(Queue& queue);
  std::size_t joinable(const Queue& queue) const;
  void send(Queue& queue, Batch batch);
  void answered(Queue& queue, Batch& batch, const HttpResponse& response);
  void on_conflict(Queue& queue, Batch& batch, const HttpResponse& response);
  static Write take_first(Queue& queue);
  static void put_back(Queue& queue, Batch& batch);

  Link& link_;
  Budget changes_;
  std::size_t txn_ops_, most_bytes_;
  bool full_told_ = false;
  std::array<Queue, kUrgencies> queues_;  // by urgency
  std::size_t in_flight_ = 0;
  WakeTimer wake_;
};

}  // namespace asterstair::store
