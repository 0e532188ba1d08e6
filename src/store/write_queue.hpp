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

/// Urgency of a transaction, most urgent first. A transaction is not sent while a more urgent one
/// waits.
enum class Urgency {
  /// Operation on machines, which must be durable before the cloud is called. There are few, and a
  /// machine's boot waits for each.
  MachineOperation,
  /// A user, an administrator or a candidate for a lease waits for the result.
  User,
  /// Final record of a job.
  JobEnd,
  /// Record that must be durable before a task starts.
  TaskStart,
  /// Record that nothing waits for, such as progress, cleanup or the catalog.
  Lazy
};
/// Number of urgencies. Each urgency has its own queue.
inline constexpr std::size_t kUrgencyCount = 5;

/// Executes compare-and-swap transactions within the rate limits on requests and changes. Store
/// owns it and is its only caller.
///
/// Consecutive independent transactions of one urgency are sent as one transaction (group commit).
/// If a group conflicts, only the transactions whose conditions failed get Conflict; the others are
/// sent again, one by one.
class WriteQueue {
 public:
  /// @param change_limit  this node's share of the rate limit on changes
  /// @param max_changes   maximum changes in one transaction of the state service
  /// @param max_bytes     maximum memory of the queued writes of each urgency
  WriteQueue(Transport& transport, TokenBucket change_limit, std::size_t max_changes,
             std::size_t max_bytes)
      : transport_(transport),
        change_limit_(change_limit),
        max_changes_(max_changes),
        max_bytes_(max_bytes),
        wake_(transport.runtime(), [this] { send_ready(); }) {}

  /// Queues a transaction. `done` runs exactly once. It gets NotApplied if the transaction is not
  /// sent within the queue timeout of 3 s, or at once if the queue is full.
  void write(wire::Txn txn, Urgency urgency, std::function<void(WriteResult)> done);

 private:
  struct Write {
    wire::Txn txn;
    std::size_t size = 0;    // estimated bytes of the request
    TimePoint deadline;      // latest time to send it
    bool ungrouped = false;  // must not join a group
    std::function<void(WriteResult)> done;
  };
  struct Queue {
    std::deque<Write> writes;
    std::size_t bytes = 0;  // estimated memory
  };
  using Group = std::vector<Write>;

  /// Result of sending from a queue: the less urgent queues may send only after QueueEmpty.
  enum class SendResult { QueueEmpty, MustWait };

  void send_ready();
  SendResult send_ready(Queue& queue);
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
  std::array<Queue, kUrgencyCount> queues_;  // by urgency
  std::size_t in_flight_ = 0;
  WakeTimer wake_;
};

}  // namespace asterstair::store
