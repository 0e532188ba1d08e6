#pragma once

#include <algorithm>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <utility>

#include "sim/submission.hpp"

namespace sim {

/// What all workers know of the jobs: workloads, checkpoints on shared storage, completed tasks and
/// the attempts of gangs. It outlives every machine.
struct JobStates {
  using TaskIndex = std::pair<std::string, std::uint32_t>;  // job, index
  /// One attempt to run a gang.
  struct GangAttempt {
    std::set<std::uint32_t> ready;
    bool started = false, broken = false;
  };

  std::map<std::string, Workload> workloads;
  std::map<TaskIndex, double> checkpoints;  ///< seconds of saved progress
  std::set<TaskIndex> completed;
  std::map<std::pair<std::string, std::uint64_t>, GangAttempt> gangs;  ///< by job and attempt

  /// Where the task's checkpoint is; tasks of a gang share one.
  TaskIndex checkpoint_of(const std::string& job, std::uint32_t index) const {
    return {job, workloads.at(job).gang ? 0 : index};
  }
  /// Keeps the checkpoint with the most progress.
  void save_checkpoint(const std::string& job, std::uint32_t index, double progress) {
    auto& saved = checkpoints[checkpoint_of(job, index)];
    saved = std::max(saved, progress);
  }
};

}  // namespace sim
