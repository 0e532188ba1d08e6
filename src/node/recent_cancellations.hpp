#pragma once
// Cancellations that this node has confirmed lately. They are told to the peers at once, and
// again for as long as a message may be lost.

#include <deque>
#include <string>
#include <vector>

#include "base/time.hpp"

namespace asterstair {

class RecentCancellations {
 public:
  void add(const std::string& job, TimePoint now);
  // Those still to be told, oldest first; older ones are dropped.
  std::vector<std::string> jobs(TimePoint now);

 private:
  struct Entry {
    TimePoint confirmed;
    std::string job;
  };
  void drop_oldest();

  std::deque<Entry> entries_;
  std::size_t bytes_ = 0;  // that they take in a message
};

}  // namespace asterstair
