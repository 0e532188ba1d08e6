#pragma once
/// @file
/// A compact set of task indexes.

#include <cstddef>
#include <cstdint>
#include <map>

namespace asterstair::cluster {

/// A set of task indexes, stored as runs of consecutive indexes: a job array of 100,000 waiting
/// tasks takes one entry.
class TaskSet {
 public:
  /// The number of tasks.
  std::uint32_t size() const { return size_; }
  /// Whether the set is empty.
  bool empty() const { return size_ == 0; }
  /// Whether the set contains the task.
  bool contains(std::uint32_t task) const;
  /// Removes all tasks.
  void clear();
  /// Adds the task; no effect if the set contains it.
  void insert(std::uint32_t task);
  /// Removes the task; no effect if the set does not contain it.
  void erase(std::uint32_t task);
  /// Removes and returns the lowest index; the set must not be empty.
  std::uint32_t take_first();
  /// The number of runs, to which the memory of the set is proportional.
  std::size_t run_count() const { return runs_.size(); }

 private:
  using Runs = std::map<std::uint32_t, std::uint32_t>;  // first to last index
  // The run that contains the task, or the end.
  Runs::const_iterator find_run(std::uint32_t task) const;

  Runs runs_;
  std::uint32_t size_ = 0;
};

}  // namespace asterstair::cluster
