#pragma once
/// @file
/// The leader's table of live jobs, and the state transitions of their tasks. Pure state.

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <unordered_map>

#include "base/model.hpp"
#include "base/time.hpp"
#include "cluster/job.hpp"

namespace asterstair::cluster {

/// All live jobs by their ids. Owned by cluster::ClusterState.
class JobTable {
 public:
  /// The job, or null.
  Job* find(const std::string& id);
  /// The job, or null.
  const Job* find(const std::string& id) const;
  /// Adds a live job. A job that is already in the table is returned unchanged.
  /// \param version revision of the job's live record
  Job& add(JobSpec spec, std::uint64_t version, WallTime accepted);
  /// Removes the job; no effect if it is not in the table.
  void erase(const std::string& id);
  /// All jobs, by id.
  std::map<std::string, Job>& all() { return jobs_; }
  /// All jobs, by id.
  const std::map<std::string, Job>& all() const { return jobs_; }

  /// Assigns a task. Returns false if the task is done, or assigned to another attempt or machine.
  static bool assign(Job& job, std::uint32_t index, Assignment assignment);
  /// Removes and returns the waiting task with the lowest index; there must be a waiting task.
  static std::uint32_t take_waiting(Job& job);
  /// Records that the attempt has been reported as running.
  static void mark_running(Job& job, std::uint32_t index, const Assignment& assignment);
  /// Removes the assignment of an attempt that has ended or was lost. The task waits again unless
  /// it is done.
  static void unassign(Job& job, std::uint32_t index, const Assignment& assignment);
  /// Records that the task has completed. Returns false if it was already done.
  /// \param chunk index of the chunk of the progress record that holds the task
  static bool mark_done(Job& job, std::uint32_t index, std::size_t chunk);
  /// Recomputes the set of waiting tasks: those that are neither done nor assigned.
  static void rebuild_waiting(Job& job);

 private:
  std::map<std::string, Job> jobs_;
  // Hash index of `jobs_`, since each task of each heartbeat is looked up.
  std::unordered_map<std::string_view, Job*> by_id_;
};

}  // namespace asterstair::cluster
