#pragma once
/// @file
/// Cancellations that are repeated in gossip messages.

#include <deque>
#include <string>
#include <vector>

#include "base/time.hpp"

namespace asterstair {

/// The jobs whose cancellation this node has confirmed recently.
///
/// PeerGossip sends each to the peers immediately, and again in every periodic message for 10 s,
/// since a message may be lost. Limited to a quarter of a message: the oldest are dropped first.
class RecentCancellations {
 public:
  /// Adds a job whose cancellation is confirmed now.
  void add(const std::string& job, TimePoint now);
  /// Returns the jobs whose cancellation is still repeated, oldest first. Drops expired entries.
  std::vector<std::string> jobs(TimePoint now);

 private:
  struct Entry {
    TimePoint confirmed_at;
    std::string job;
  };
  void drop_oldest();

  std::deque<Entry> entries_;
  std::size_t message_bytes_ = 0;  // size of the entries in a message
};

}  // namespace asterstair
