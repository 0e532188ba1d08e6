#include "node/recent_cancellations.hpp"

#include "wire/peer.hpp"

namespace asterstair {
namespace {

// How long a cancellation is repeated. Ten messages are sent in this time, so that at least one is
// expected to arrive.
constexpr auto kRepeatDuration = 10s;
// Maximum size of the cancellations in a message. The oldest cancellations beyond it are not
// repeated; the peers have been sent them once, when they were confirmed.
constexpr std::size_t kMaxCancellationBytes = wire::kMaxPeerMessageBytes / 4;

std::size_t size_in_message(const std::string& job) {
  return job.size() + wire::kPeerEntryOverhead;
}

}  // namespace

void RecentCancellations::add(const std::string& job, TimePoint now) {
  entries_.push_back({now, job});
  message_bytes_ += size_in_message(job);
  while (message_bytes_ > kMaxCancellationBytes) drop_oldest();
}

void RecentCancellations::drop_oldest() {
  message_bytes_ -= size_in_message(entries_.front().job);
  entries_.pop_front();
}

std::vector<std::string> RecentCancellations::jobs(TimePoint now) {
  while (!entries_.empty() && now - entries_.front().confirmed_at > kRepeatDuration) drop_oldest();
  std::vector<std::string> jobs;
  jobs.reserve(entries_.size());
  for (const auto& entry : entries_) jobs.push_back(entry.job);
  return jobs;
}

}  // namespace asterstair
