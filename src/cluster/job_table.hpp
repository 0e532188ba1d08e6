#pragma once
/// @file
/// The leader's table of live jobs, and the transitions of their tasks. Pure state.

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
  /// Adds a live job. One that is known already stays as it is.
  /// \param version revision of its live record
  Job& add(JobSpec spec, std::uint64_t version, WallTime accepted);
  /// Removes the job; no effect if it is not there.
  void erase(const std::string& id);
  /// All jobs, by id.
  std::map<std::string, Job>& all() { return jobs_; }
  /// All jobs, by id.
  const std::map<std::string, Job>& all() const { return jobs_; }

  /// Assigns a task. False if it cannot run there: it is done, or assigned elsewhere.
  static bool assign(Job& job, std::uint32_t index, Assignment assignment);
  /// Removes the waiting task with the lowest index; there must be one.
  static std::uint32_t take_waiting(Job& job);
  /// The attempt has been reported as running.
  static void mark_running(Job& job, std::uint32_t index, const Assignment& assignment);
  /// The attempt is known to be gone: the task waits again unless it is done.
  static void unassign(Job& job, std::uint32_t index, const Assignment& assignment);
  /// The task has completed. False if that was known.
  /// \param chunk of the progress record that holds the task
  static bool mark_done(Job& job, std::uint32_t index, std::size_t chunk);
  /// Recomputes the waiting tasks: those that are neither done nor assigned.
  static void rebuild_waiting(Job& job);

 private:
  std::map<std::string, Job> jobs_;
  // The same by hash: each task of each heartbeat is looked up.
  std::unordered_map<std::string_view, Job*> by_id_;
};

}  // namespace asterstair::cluster
