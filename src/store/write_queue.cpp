#include "store/write_queue.hpp"

#include <algorithm>
#include <memory>
#include <set>

#include "base/http_status.hpp"
#include "base/log.hpp"
#include "store/group_commit.hpp"
#include "store/responses.hpp"

namespace asterstair::store {
namespace {

constexpr auto kRequestTimeout = 1500ms;
// Users wait 5 s for the response to a submission; kQueueTimeout and kRequestTimeout fit into that.
constexpr auto kQueueTimeout = 3s;
constexpr std::size_t kMaxInFlight = 4;
// Estimated memory of a queued write, excluding its keys and values: the callback and the
// containers.
constexpr std::size_t kWriteOverhead = 512;

}  // namespace

void WriteQueue::write(wire::Txn txn, Urgency urgency, std::function<void(WriteResult)> done) {
  auto& queue = queues_.at(static_cast<std::size_t>(urgency));
  Write write;
  write.size = estimate_size(txn);
  if (queue.bytes + write.size + kWriteOverhead > max_bytes_) {
    reject_full_queue(done);
    return;
  }
  write.txn = std::move(txn);
  write.deadline = transport_.now() + kQueueTimeout;
  write.done = std::move(done);
  push_back(queue, std::move(write));
  // The timer sends the write, so that writes of the same event loop iteration can form a group.
  wake_.set(Duration::zero());
}

// The queue does not keep the write: the user, or the periodic work of the leader, repeats it.
void WriteQueue::reject_full_queue(const std::function<void(WriteResult)>& done) {
  if (!full_queue_logged_) {
    log::error("write queue full: more writes wait for the state service than memory allows");
  }
  full_queue_logged_ = true;
  done({});
}

void WriteQueue::send_ready() {
  for (auto& queue : queues_) {
    if (send_ready(queue) == SendResult::MustWait) return;
  }
}

// Sends the queued writes in order as far as the limits allow. If a rate limit delays a write, the
// timer is set for it. If kMaxInFlight requests are in flight, the next response resumes sending.
WriteQueue::SendResult WriteQueue::send_ready(Queue& queue) {
  const auto now = transport_.now();
  while (!queue.writes.empty()) {
    if (queue.writes.front().deadline <= now) {
      pop_front(queue).done({});
      continue;
    }
    if (in_flight_ >= kMaxInFlight) return SendResult::MustWait;
    const auto size = group_size(queue);
    const auto changes = static_cast<double>(count_changes(queue, size));
    const auto wait = std::max(transport_.request_limit().time_until_available(1, now),
                               change_limit_.time_until_available(changes, now));
    if (wait > Duration::zero()) {
      wake_.set(wait);
      return SendResult::MustWait;
    }
    transport_.request_limit().take(1, now);
    change_limit_.take(changes, now);
    send(queue, pop_group(queue, size));
  }
  return SendResult::QueueEmpty;
}

// Returns how many writes at the head of the queue can be sent as one transaction.
std::size_t WriteQueue::group_size(const Queue& queue) const {
  const auto& writes = queue.writes;
  GroupCommit group(max_changes_);
  group.add(writes.front().txn, writes.front().size);
  std::size_t size = 1;
  while (size < writes.size() && !writes.front().ungrouped && !writes[size].ungrouped &&
         group.accepts(writes[size].txn, writes[size].size)) {
    group.add(writes[size].txn, writes[size].size);
    ++size;
  }
  return size;
}

std::size_t WriteQueue::count_changes(const Queue& queue, std::size_t group_size) {
  std::size_t changes = 0;
  for (std::size_t i = 0; i < group_size; ++i) changes += queue.writes[i].txn.changes.size();
  return changes;
}

void WriteQueue::send(Queue& queue, Group group) {
  ++in_flight_;
  wire::Txn txn;
  for (const auto& write : group) append(txn, write.txn);
  auto shared = std::make_shared<Group>(std::move(group));
  transport_.send(wire::txn_request(deduplicate_conditions(std::move(txn))), kRequestTimeout,
                  [this, &queue, shared](const HttpResponse& response) {
                    --in_flight_;
                    on_response(queue, *shared, response);
                    send_ready();
                  });
}

void WriteQueue::on_response(Queue& queue, Group& group, const HttpResponse& response) {
  if (response.status == http_status::kConflict) {
    on_conflict(queue, group, response);
    return;
  }
  if (response.status == http_status::kTooManyRequests) {
    change_limit_.on_rate_limited(transport_.now(), kRateLimitPause);
    push_front(queue, group);
    return;
  }
  const auto result = decode_txn_response(response);
  for (const auto& write : group) write.done(result);
}

void WriteQueue::on_conflict(Queue& queue, Group& group, const HttpResponse& response) {
  const auto failed_keys = decode_conflict_response(response);
  const auto has_failed = [&](const Write& write) {
    if (group.size() == 1) return true;
    return std::any_of(
        write.txn.conditions.begin(), write.txn.conditions.end(),
        [&](const auto& condition) { return failed_keys.count(condition.key) != 0; });
  };
  Group failed, others;
  for (auto& write : group) (has_failed(write) ? failed : others).push_back(std::move(write));
  // Only conditions of other transactions failed: the changes of these were not applied, and they
  // are sent again. Each is sent without a group, because a conflict whose response names no keys
  // would otherwise repeat endlessly.
  for (auto& write : others) write.ungrouped = true;
  push_front(queue, others);
  for (const auto& write : failed) write.done({WriteOutcome::Conflict, 0});
}

void WriteQueue::push_back(Queue& queue, Write write) {
  queue.bytes += write.size + kWriteOverhead;
  queue.writes.push_back(std::move(write));
}

WriteQueue::Write WriteQueue::pop_front(Queue& queue) {
  Write write = std::move(queue.writes.front());
  queue.writes.pop_front();
  queue.bytes -= write.size + kWriteOverhead;
  return write;
}

WriteQueue::Group WriteQueue::pop_group(Queue& queue, std::size_t group_size) {
  Group group;
  for (std::size_t i = 0; i < group_size; ++i) group.push_back(pop_front(queue));
  return group;
}

void WriteQueue::push_front(Queue& queue, Group& group) {
  for (const auto& write : group) queue.bytes += write.size + kWriteOverhead;
  queue.writes.insert(queue.writes.begin(), std::make_move_iterator(group.begin()),
                      std::make_move_iterator(group.end()));
}

}  // namespace asterstair::store
