#include "node/recent_cancellations.hpp"

#include "wire/peer.hpp"

namespace asterstair {
namespace {

constexpr auto kToldFor = 10s;
// Beyond a part of a message the oldest are told once only, when they were confirmed.
constexpr std::size_t kMostBytes = wire::kLargestPeerMessage / 4;

std::size_t size_of(const std::string& job) { return job.size() + wire::kPeerEntryOverhead; }

}  // namespace

void RecentCancellations::add(const std::string& job, TimePoint now) {
  entries_.push_back({now, job});
  bytes_ += size_of(job);
  while (bytes_ > kMostBytes) drop_oldest();
}

void RecentCancellations::drop_oldest() {
  bytes_ -= size_of(entries_.front().job);
  entries_.pop_front();
}

std::vector<std::string> RecentCancellations::jobs(TimePoint now) {
  while (!entries_.empty() && now - entries_.front().confirmed > kToldFor) drop_oldest();
  std::vector<std::string> out;
  out.reserve(entries_.size());
  for (const auto& entry : entries_) out.push_back(entry.job);
  return out;
}

}  // namespace asterstair
