#include "node/recent_cancellations.hpp"

namespace asterstair {
namespace {

constexpr auto kToldFor = 10s;
constexpr std::size_t kMost = 1000;

}  // namespace

void RecentCancellations::add(const std::string& job, TimePoint now) {
  entries_.push_back({now, job});
  if (entries_.size() > kMost) entries_.pop_front();
}

std::vector<std::string> RecentCancellations::jobs(TimePoint now) {
  while (!entries_.empty() && now - entries_.front().confirmed > kToldFor) entries_.pop_front();
  std::vector<std::string> out;
  out.reserve(entries_.size());
  for (const auto& entry : entries_) out.push_back(entry.job);
  return out;
}

}  // namespace asterstair
