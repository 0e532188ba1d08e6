#include "node/recent_cancellations.hpp"

#include "wire/peer.hpp"

namespace asterstair {
namespace {

// How long a cancellation is repeated. Ten messages are sent in that time; one of them arrives.
constexpr auto kRepeatFor = 10s;
// The part of a message that cancellations may take. The oldest beyond it are told only once, when
// they are confirmed.
constexpr std::size_t kMaxMessageBytes = wire::kMaxPeerMessageBytes / 4;

std::size_t size_in_message(const std::string& job) {
  return job.size() + wire::kPeerEntryOverhead;
}

}  // namespace

void RecentCancellations::add(const std::string& job, TimePoint now) {
  entries_.push_back({now, job});
  message_bytes_ += size_in_message(job);
  while (message_bytes_ > kMaxMessageBytes) drop_oldest();
}

void RecentCancellations::drop_oldest() {
  message_bytes_ -= size_in_message(entries_.front().job);
  entries_.pop_front();
}

std::vector<std::string> RecentCancellations::jobs(TimePoint now) {
  while (!entries_.empty() && now - entries_.front().confirmed_at > kRepeatFor) drop_oldest();
  std::vector<std::string> jobs;
  jobs.reserve(entries_.size());
  for (const auto& entry : entries_) jobs.push_back(entry.job);
  return jobs;
}

}  // namespace asterstair
