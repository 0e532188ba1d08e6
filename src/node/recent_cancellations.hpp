#pragma once
/// @file
/// Cancellations that are still gossiped.

#include <deque>
#include <string>
#include <vector>

#include "base/time.hpp"

namespace asterstair {

/// The jobs whose cancellation this node has confirmed lately.
///
/// PeerGossip tells the peers of each at once, and again in every message for 10 s, since a message
/// may be lost. Bounded to a quarter of a message: the oldest are dropped first.
class RecentCancellations {
 public:
  /// Adds a job whose cancellation is confirmed now.
  void add(const std::string& job, TimePoint now);
  /// The jobs that are still to be told of, oldest first. Drops older ones.
  std::vector<std::string> jobs(TimePoint now);

 private:
  struct Entry {
    TimePoint confirmed_at;
    std::string job;
  };
  void drop_oldest();

  std::deque<Entry> entries_;
  std::size_t message_bytes_ = 0;  // what the entries take in a message
};

}  // namespace asterstair
