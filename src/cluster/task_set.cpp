#include "cluster/task_set.hpp"

#include <iterator>

namespace asterstair::cluster {

TaskSet::Runs::const_iterator TaskSet::find_run(std::uint32_t task) const {
  const auto next = runs_.upper_bound(task);
  if (next == runs_.begin()) return runs_.end();
  const auto run = std::prev(next);
  return run->second >= task ? run : runs_.end();
}

bool TaskSet::contains(std::uint32_t task) const { return find_run(task) != runs_.end(); }

void TaskSet::clear() {
  runs_.clear();
  size_ = 0;
}

void TaskSet::insert(std::uint32_t task) {
  if (contains(task)) return;
  ++size_;
  auto first = task, last = task;
  const auto next = runs_.upper_bound(task);
  if (next != runs_.begin()) {
    const auto previous = std::prev(next);
    if (previous->second + 1 == task) {
      first = previous->first;
      runs_.erase(previous);
    }
  }
  if (next != runs_.end() && next->first == task + 1) {
    last = next->second;
    runs_.erase(next);
  }
  runs_[first] = last;
}

void TaskSet::erase(std::uint32_t task) {
  const auto run = find_run(task);
  if (run == runs_.end()) return;
  --size_;
  const auto [first, last] = *run;
  runs_.erase(run);
  if (first < task) runs_[first] = task - 1;
  if (task < last) runs_[task + 1] = last;
}

std::uint32_t TaskSet::take_first() {
  const auto first = runs_.begin()->first;
  erase(first);
  return first;
}

}  // namespace asterstair::cluster
