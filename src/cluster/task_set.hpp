#pragma once
/// @file
/// A compact set of task indexes.

#include <cstddef>
#include <cstdint>
#include <map>

namespace asterstair::cluster {

/// A set of task indexes, kept as runs of consecutive ones: a job array of 100,000 waiting tasks
/// takes one entry.
class TaskSet {
 public:
  /// The number of tasks.
  std::uint32_t size() const { return size_; }
  /// Whether there is no task.
  bool empty() const { return size_ == 0; }
  /// Whether the task is there.
  bool contains(std::uint32_t task) const;
  /// Removes all tasks.
  void clear();
  /// Adds the task; no effect if it is there.
  void insert(std::uint32_t task);
  /// Removes the task; no effect if it is not there.
  void erase(std::uint32_t task);
  /// Removes and returns the lowest index; there must be one.
  std::uint32_t take_first();
  /// The number of runs, which is what the set costs in memory.
  std::size_t runs() const { return runs_.size(); }

 private:
  using Runs = std::map<std::uint32_t, std::uint32_t>;  // the first and the last index of each run
  // The run that holds the task; the end if none does.
  Runs::const_iterator run_of(std::uint32_t task) const;

  Runs runs_;
  std::uint32_t size_ = 0;
};

}  // namespace asterstair::cluster
