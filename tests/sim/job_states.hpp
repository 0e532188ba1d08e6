#pragma once

#include <algorithm>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <utility>

#include "sim/submission.hpp"

namespace sim {

/// Job state that all workers share: workloads, checkpoints, completed tasks and gang attempts.
/// Like shared storage, it survives the loss of machines.
struct JobStates {
  /// Job and index of a task.
  using TaskIndex = std::pair<std::string, std::uint32_t>;
  /// One attempt to run a gang.
  struct GangAttempt {
    std::set<std::uint32_t> ready;  ///< indices of the tasks that are ready to run
    /// Started: all tasks were ready at one time. Broken: afterwards a task left its machine
    /// without completing.
    bool started = false, broken = false;
  };

  std::map<std::string, Workload> workloads;  ///< by job
  std::map<TaskIndex, double> checkpoints;    ///< seconds of saved progress
  std::set<TaskIndex> completed;              ///< tasks that have completed
  std::map<std::pair<std::string, std::uint64_t>, GangAttempt> gangs;  ///< by job and attempt

  /// The key of the task's checkpoint; all tasks of a gang share one.
  TaskIndex checkpoint_of(const std::string& job, std::uint32_t index) const {
    return {job, workloads.at(job).gang ? 0 : index};
  }
  /// Saves a checkpoint, unless the saved one has more progress.
  void save_checkpoint(const std::string& job, std::uint32_t index, double progress) {
    auto& saved = checkpoints[checkpoint_of(job, index)];
    saved = std::max(saved, progress);
  }
};

}  // namespace sim
