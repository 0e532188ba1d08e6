#pragma once
/// @file
/// Queue of compare-and-swap transactions.

#include <array>
#include <deque>
#include <functional>
#include <vector>

#include "store/results.hpp"
#include "store/transport.hpp"
#include "store/wake_timer.hpp"

namespace asterstair::store {

/// Urgency of a transaction: while one waits, no less urgent one is sent.
enum class Urgency {
  /// Operations on machines, durable before the cloud is asked: few, and a boot waits for each.
  Order,
  /// A user, an operator or a candidate for a lease waits for the answer.
  User,
  /// A job's final record.
  Final,
  /// What must be durable before a task starts.
  Start,
  /// Nothing waits for it: progress, sweeps and catalogs.
  Lazy
};
/// Number of urgencies, each of which has a queue of its own.
inline constexpr std::size_t kUrgencies = 5;

/// Carries out compare-and-swap transactions within the rate limits on requests and changes. Store
/// owns one and is its only caller.
///
/// Consecutive transactions of one urgency that do not touch one another travel as one (group
/// commit). If a group conflicts, only the transactions whose conditions failed get Conflict; the
/// others are sent again, each alone.
class WriteQueue {
 public:
  /// @param change_limit  this node's share of the rate limit on changes
  /// @param max_changes   most changes in one transaction of the state service
  /// @param max_bytes     bounds the memory of the waiting writes, for each urgency
  WriteQueue(Transport& transport, TokenBucket change_limit, std::size_t max_changes,
             std::size_t max_bytes)
      : transport_(transport),
        change_limit_(change_limit),
        max_changes_(max_changes),
        max_bytes_(max_bytes),
        wake_(transport.runtime(), [this] { send_ready(); }) {}

  /// Queues a transaction. `done` runs exactly once: with NotDone after the queue timeout of 3 s,
  /// or at once if the queue is full.
  void write(wire::Txn txn, Urgency urgency, std::function<void(WriteResult)> done);

 private:
  struct Write {
    wire::Txn txn;
    std::size_t size = 0;  // estimated bytes of the request
    TimePoint deadline;    // of its sending
    bool alone = false;    // must not join a group
    std::function<void(WriteResult)> done;
  };
  struct Queue {
    std::deque<Write> writes;
    std::size_t bytes = 0;  // estimated memory
  };
  using Group = std::vector<Write>;

  /// Whether the less urgent queues may send.
  enum class Progress { QueueEmpty, MustWait };

  void send_ready();
  Progress send_ready(Queue& queue);
  std::size_t group_size(const Queue& queue) const;
  static std::size_t count_changes(const Queue& queue, std::size_t group_size);
  void send(Queue& queue, Group group);
  void on_response(Queue& queue, Group& group, const HttpResponse& response);
  void on_conflict(Queue& queue, Group& group, const HttpResponse& response);
  void reject_full_queue(const std::function<void(WriteResult)>& done);
  static void push_back(Queue& queue, Write write);
  static Write pop_front(Queue& queue);
  static Group pop_group(Queue& queue, std::size_t group_size);
  static void push_front(Queue& queue, Group& group);

  Transport& transport_;
  TokenBucket change_limit_;
  std::size_t max_changes_, max_bytes_;
  bool full_queue_logged_ = false;
  std::array<Queue, kUrgencies> queues_;  // by urgency
  std::size_t in_flight_ = 0;
  WakeTimer wake_;
};

}  // namespace asterstair::store
