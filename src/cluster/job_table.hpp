#pragma once
// The leader's view of the live jobs and what it has made durable about them.

#include <map>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "base/model.hpp"
#include "base/time.hpp"
#include "cluster/task_set.hpp"

namespace asterstair::cluster {

struct Assignment {
  std::string machine;
  std::uint64_t attempt = 0;
  bool running = false;  // has been seen running
};

struct Job {
  JobSpecPtr spec;
  std::uint64_t version = 0;  // of the live record
  WallTime accepted{};
  std::vector<bool> done, durable;
  std::uint32_t done_count = 0;
  TaskSet waiting;            // neither done nor assigned
  std::uint32_t running = 0;  // of those assigned
  std::unordered_map<std::uint32_t, Assignment> assignments;
  std::unordered_map<std::uint32_t, double> saved_s;  // progress known to be saved, by task
  std::set<std::size_t> dirty;                        // chunks not yet durable
  bool begun = false;                                 // its first progress record is durable
  bool begun_before = false;  // by an earlier leader: tasks may be where nobody has reported
  bool beginning = false, flushing = false, ending = false;
  bool first_started = false;
  std::optional<TimePoint> idle_since;  // while nothing of it is, or may be, anywhere
  bool ran = false;                     // its first tasks, or all of a gang, have been seen running
  Seconds room_after{0};                // its age when room was first found for it
  std::string last_zone;
  std::set<std::string> failed_on;  // machines
  std::uint32_t failure_rounds = 0;
  TimePoint not_before{};
  TimePoint last_flush{};

  std::uint32_t unfinished() const { return spec->tasks - done_count; }
  bool all_done() const { return done_count == spec->tasks; }
};

class JobTable {
 public:
  Job* find(const std::string& id);
  const Job* find(const std::string& id) const;
  // Adds or updates a live job. Returns it.
  Job& add(JobSpec spec, std::uint64_t version, WallTime accepted);
  void erase(const std::string& id);
  std::map<std::string, Job>& all() { return all_; }
  const std::map<std::string, Job>& all() const { return all_; }

  // Assigns a task. False if it cannot run there: it is done or assigned elsewhere.
  static bool assign(Job& job, std::uint32_t index, Assignment assignment);
  // Takes a waiting task.
  static std::uint32_t take_waiting(Job& job);
  // The attempt has been seen running.
  static void mark_running(Job& job, std::uint32_t index, const Assignment& assignment);
  // The attempt is known gone; the task waits again unless it is done.
  static void unassign(Job& job, std::uint32_t index, const Assignment& assignment);
  static bool mark_done(Job& job, std::uint32_t index, std::size_t chunk);
  // Waiting is recomputed from done and assignments.
  static void rebuild_waiting(Job& job);

 private:
  std::map<std::string, Job> all_;
  // The same by hash: every task of every report is looked up.
  std::unordered_map<std::string_view, Job*> by_id_;
};

}  // namespace asterstair::cluster
