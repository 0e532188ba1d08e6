#pragma once
// A set of task numbers, kept as runs of consecutive ones: of an array of 100,000 tasks that all
// wait it takes one entry.

#include <cstdint>
#include <map>

namespace asterstair::cluster {

class TaskSet {
 public:
  std::uint32_t size() const { return size_; }
  bool empty() const { return size_ == 0; }
  bool contains(std::uint32_t task) const;
  void clear();
  // Neither has an effect if the task is, or is not, there already.
  void insert(std::uint32_t task);
  void erase(std::uint32_t task);
  // Takes the lowest number out; there must be one.
  std::uint32_t take_first();
  // Runs of consecutive numbers: what the set costs in memory.
  std::size_t runs() const { return runs_.size(); }

 private:
  using Runs = std::map<std::uint32_t, std::uint32_t>;  // the first and the last of each
  Runs::const_iterator run_of(std::uint32_t task) const;

  Runs runs_;
  std::uint32_t size_ = 0;
};

}  // namespace asterstair::cluster
