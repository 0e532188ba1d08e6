#include "store/write_queue.hpp"

#include <algorithm>
#include <map>
#include <memory>
#include <set>

#include "base/log.hpp"

namespace asterstair::store {
namespace {

constexpr auto kTimeout = 1500ms;
// Users wait 5 s for the answer to a submission: it is given up before that.
constexpr auto kQueueTimeout = 3s;
constexpr std::size_t kMostInFlight = 4;
// Of a waiting write, beside its keys and values: the callback and the containers.
constexpr std::size_t kWriteOverhead = 512;
constexpr std::size_t kLargestTxn = std::size_t{60} * 1024;
constexpr std::size_t kConditionsPerOp = 4;  // PROTOCOL
constexpr std::size_t kConditionOverhead = 40;

std::size_t size_of(const wire::Txn& txn) {
  std::size_t out = 0;
  for (const auto& c : txn.changes) out += wire::change_size(c);
  for (const auto& c : txn.conditions) out += c.key.size() + kConditionOverhead;
  return out;
}

wire::Txn without_repeated_conditions(wire::Txn txn) {
  std::set<std::string> seen;
  std::vector<wire::Condition> kept;
  for (auto& c : txn.conditions) {
    if (seen.insert(c.key).second) kept.push_back(std::move(c));
  }
  txn.conditions = std::move(kept);
  return txn;
}

}  // namespace

// What a joined transaction would hold: no two parts may touch a key that the other changes.
class WriteQueue::Joined {
 public:
  explicit Joined(std::size_t txn_ops) : txn_ops_(txn_ops) {}

  bool accepts(const Write& w) const {
    if (ops_ + w.txn.changes.size() > txn_ops_ || size_ + w.size > kLargestTxn ||
        conditions_.size() + w.txn.conditions.size() > kConditionsPerOp * txn_ops_) {
      return false;
    }
    const auto clashes = [this](const wire::Condition& c) {
      const auto it = conditions_.find(c.key);
      return changed_.count(c.key) != 0 || (it != conditions_.end() && it->second != c.version);
    };
    const auto touched = [this](const wire::Change& c) {
      return changed_.count(c.key) != 0 || conditions_.count(c.key) != 0;
    };
    return std::none_of(w.txn.conditions.begin(), w.txn.conditions.end(), clashes) &&
           std::none_of(w.txn.changes.begin(), w.txn.changes.end(), touched);
  }
  void add(const Write& w) {
    for (const auto& c : w.txn.conditions) conditions_[c.key] = c.version;
    for (const auto& c : w.txn.changes) changed_.insert(c.key);
    ops_ += w.txn.changes.size();
    size_ += w.size;
  }

 private:
  std::size_t txn_ops_, ops_ = 0, size_ = 0;
  std::map<std::string, std::uint64_t> conditions_;
  std::set<std::string> changed_;
};

void WriteQueue::write(wire::Txn txn, Urgency urgency, std::function<void(WriteResult)> done) {
  auto& queue = queues_.at(static_cast<std::size_t>(urgency));
  Write w;
  w.size = size_of(txn);
  if (queue.bytes + w.size + kWriteOverhead > most_bytes_) {
    // Asked for again by whoever needs it: a user's request, or the loops of the leader.
    if (!full_told_) log::error("more writes wait for the state service than memory is given for");
    full_told_ = true;
    done({});
    return;
  }
  w.txn = std::move(txn);
  w.give_up = link_.now() + kQueueTimeout;
  w.done = std::move(done);
  queue.bytes += w.size + kWriteOverhead;
  queue.writes.push_back(std::move(w));
  // Writes asked for in the same turn of the loop travel together.
  wake_.set(Duration::zero());
}

void WriteQueue::pump() {
  for (auto& queue : queues_) {
    if (!pump(queue)) return;
  }
}

// Whether less urgent ones may go now.
bool WriteQueue::pump(Queue& queue) {
  const auto now = link_.now();
  while (!queue.writes.empty()) {
    if (queue.writes.front().give_up <= now) {
      take_first(queue).done({});
      continue;
    }
    if (in_flight_ >= kMostInFlight) return false;
    const auto taken = joinable(queue);
    double ops = 0;
    for (std::size_t i = 0; i < taken; ++i) {
      ops += static_cast<double>(queue.writes[i].txn.changes.size());
    }
    const auto wait = std::max(link_.requests.wait_for(1, now), changes_.wait_for(ops, now));
    if (wait > Duration::zero()) {
      wake_.set(wait);
      return false;
    }
    link_.requests.take(1, now);
    changes_.take(ops, now);
    Batch batch;
    for (std::size_t i = 0; i < taken; ++i) batch.push_back(take_first(queue));
    send(queue, std::move(batch));
  }
  return true;
}

// How many writes at the head of the queue go out as one transaction.
std::size_t WriteQueue::joinable(const Queue& queue) const {
  Joined joined(txn_ops_);
  const auto& writes = queue.writes;
  joined.add(writes.front());
  std::size_t n = 1;
  while (n < writes.size() && !writes.front().alone && !writes[n].alone &&
         joined.accepts(writes[n])) {
    joined.add(writes[n]);
    ++n;
  }
  return n;
}

void WriteQueue::send(Queue& queue, Batch batch) {
  ++in_flight_;
  wire::Txn joined;
  for (const auto& w : batch) {
    joined.conditions.insert(joined.conditions.end(), w.txn.conditions.begin(),
                             w.txn.conditions.end());
    joined.changes.insert(joined.changes.end(), w.txn.changes.begin(), w.txn.changes.end());
  }
  auto shared = std::make_shared<Batch>(std::move(batch));
  link_.send(wire::txn_request(without_repeated_conditions(std::move(joined))), kTimeout,
             [this, &queue, shared](const HttpResponse& r) {
               --in_flight_;
               answered(queue, *shared, r);
               pump();
             });
}

void WriteQueue::answered(Queue& queue, Batch& batch, const HttpResponse& r) {
  if (r.status == 409) {
    on_conflict(queue, batch, r);
    return;
  }
  if (r.status == 429) {
    changes_.refused(link_.now(), kRefusedPause);
    put_back(queue, batch);
    return;
  }
  WriteResult result{WriteOutcome::Unknown, 0};
  if (r.status == 200) {
    if (auto revision = decode_or_log("txn", [&] { return wire::decode_revision(r.body); })) {
      result = {WriteOutcome::Committed, *revision};
    }
  } else if (r.status == 503 || r.status == 400) {
    if (r.status == 400) log::error("state service refused a transaction: {}", r.body);
    result.outcome = WriteOutcome::NotDone;
  }
  for (const auto& w : batch) w.done(result);
}

void WriteQueue::on_conflict(Queue& queue, Batch& batch, const HttpResponse& r) {
  const auto failed = decode_or_log("txn", [&] { return wire::decode_failed(r.body); });
  std::set<std::string> keys;
  if (failed) keys.insert(failed->begin(), failed->end());
  const auto conflicted = [&](const Write& w) {
    if (batch.size() == 1) return true;
    return std::any_of(w.txn.conditions.begin(), w.txn.conditions.end(),
                       [&](const auto& c) { return keys.count(c.key) != 0; });
  };
  Batch failed_writes, others;
  for (auto& w : batch) (conflicted(w) ? failed_writes : others).push_back(std::move(w));
  // Failed only for another's condition: nothing of these was carried out.
  for (auto& w : others) w.alone = true;
  put_back(queue, others);
  for (const auto& w : failed_writes) w.done({WriteOutcome::Conflict, 0});
}

WriteQueue::Write WriteQueue::take_first(Queue& queue) {
  Write out = std::move(queue.writes.front());
  queue.writes.pop_front();
  queue.bytes -= out.size + kWriteOverhead;
  return out;
}

void WriteQueue::put_back(Queue& queue, Batch& batch) {
  for (const auto& w : batch) queue.bytes += w.size + kWriteOverhead;
  queue.writes.insert(queue.writes.begin(), std::make_move_iterator(batch.begin()),
                      std::make_move_iterator(batch.end()));
}

}  // namespace asterstair::store
