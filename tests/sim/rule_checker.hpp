#pragma once
// Checker of the rules of PROTOCOL.

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "sim/machine.hpp"
#include "sim/simulator.hpp"
#include "sim/submission.hpp"

namespace sim {

/// Checks the rules of PROTOCOL. It uses only what workers do and what users are answered, and it
/// shares no code with the service. The simulated workers and users call the functions that begin
/// with `on_`.
class RuleChecker {
 public:
  /// A team's resource limits; 0: unlimited.
  struct TeamLimits {
    double max_cpus = 0, max_gpus = 0;
  };

  /// A cancelled job's tasks must end within `cancel_s` seconds.
  RuleChecker(Simulator& simulator, std::map<std::string, TeamLimits> teams, double cancel_s);

  // ---- Events ----

  /// A user submits a job.
  void on_submitted(const std::string& id, const JobRequirements& job) { jobs_[id] = job; }
  /// The worker has fetched the task's image. From now on the task counts as on the machine.
  void on_task_present(const std::string& id, std::uint32_t index, const MachineTraits& machine);
  /// The task is no longer on the machine.
  void on_task_absent(const std::string& id, std::uint32_t index, const std::string& machine);
  /// The task has completed its work.
  void on_task_completed(const std::string& id, std::uint32_t index);
  /// A user queries a job.
  void on_query(const std::string& id);
  /// A user cancels a job.
  void on_cancel_requested(const std::string& id) { cancel_requested_.insert(id); }
  /// A user receives the answer to a request that was sent at `asked`; `stage` is empty if the
  /// answer has none. Answers may arrive out of order, so an answer may contradict an earlier one
  /// if its request was sent before that one arrived, but not if it was sent afterwards.
  void on_answer(const std::string& id, int status, const std::string& stage, bool to_submission,
                 double asked);
  /// All faults have ended. From now on the queries of each accepted job must be answered within a
  /// time limit, by any node, and no job may starve.
  void on_faults_over() { faults_over_since_ = simulator_.elapsed(); }

  // ---- Periodic checks ----

  /// Call after each event. Checks that no task of a cancelled job is on a machine after cancel_s.
  void check_cancelled_jobs();
  /// Call periodically. Checks, once the faults have ended, that no job waits for long while there
  /// is room for it all the time. `memory_gb_of` returns the memory that a task of a job needs.
  void check_waiting_jobs(const std::vector<FreeCapacity>& capacity,
                          const std::function<double(const std::string&)>& memory_gb_of);
  /// Call at the end of the run. Checks that at least half of the jobs of each class, of each team
  /// and of the largest tenth of each class have completed, and that those largest jobs began in
  /// time unless `could_begin` returns false.
  void check_service(const std::function<bool(const std::string&)>& could_begin);

  // ---- Results ----

  /// Whether the rule was violated.
  bool violated(const std::string& rule) const;
  /// The first violations, one per line.
  std::string report() const;

  /// Whether a user was told that the job is accepted.
  bool is_accepted(const std::string& id) const { return accepted_.count(id) != 0; }
  /// Whether a task of the job has ever been on a machine.
  bool has_begun(const std::string& id) const { return began_.count(id) != 0; }
  /// Whether a user was told that the job is done or cancelled.
  bool is_final(const std::string& id) const { return final_.count(id) != 0; }
  /// "done", "withdrawn", or empty.
  std::string final_stage(const std::string& id) const;
  /// Whether a user was told that the job is cancelled.
  bool cancellation_confirmed(const std::string& id) const { return cancelled_.count(id) != 0; }
  /// The team that owns the job.
  const std::string& team_of(const std::string& id) const { return jobs_.at(id).team; }
  /// How many tasks of the job are on machines.
  std::size_t tasks_present(const std::string& id) const;
  /// How many times tasks of the job have started.
  std::uint64_t starts_of(const std::string& id) const;

  std::vector<std::string> violations;            ///< descriptions, in the order they occurred
  std::uint64_t starts = 0, completed_tasks = 0;  ///< tasks started and completed, of all jobs
  /// Starts of jobs whose cancellation was confirmed. They are counted but are no violations: a
  /// start command may still be in transit to a machine that nothing else reaches.
  std::uint64_t starts_after_cancel = 0;
  /// Called when a job's last task completes, if set.
  std::function<void(const std::string& id)> on_job_completed;

 private:
  struct Usage {
    double cpus = 0, gpus = 0;
  };
  using Tasks = std::map<std::uint32_t, MachineTraits>;  // by index

  void fail(const std::string& rule, const std::string& id, std::uint32_t index,
            const std::string& detail);
  void check_machine(const std::string& id, std::uint32_t index, const MachineTraits& machine);
  void check_zones(const std::string& id, std::uint32_t index, const MachineTraits& machine);
  void check_limits(const std::string& id, std::uint32_t index);
  void check_answer_to_accepted(const std::string& id, int status, bool to_submission,
                                double asked);
  void check_stage(const std::string& id, const std::string& stage, double asked);
  Usage usage_of(const std::string& team) const;
  bool is_waiting(const std::string& id) const;
  bool has_room(const JobRequirements& job, const std::vector<FreeCapacity>& capacity,
                double memory_gb) const;
  bool within_limits(const JobRequirements& job, std::uint32_t more_tasks) const;
  bool counts_for_service(const std::string& id) const;
  std::map<bool, std::uint32_t> min_tasks_of_largest_tenth() const;
  std::size_t completed_of(const std::string& id) const;

  Simulator& simulator_;
  std::map<std::string, TeamLimits> teams_;
  double cancel_s_;
  double faults_over_since_ = -1;
  // By job:
  std::map<std::string, JobRequirements> jobs_;
  std::map<std::string, Tasks> present_;
  std::map<std::string, std::set<std::uint32_t>> completed_;
  std::map<std::string, std::uint64_t> starts_of_;
  std::map<std::string, double> accepted_, began_, cancelled_;  // since when
  std::map<std::string, double> unanswered_since_, waiting_since_;
  std::map<std::string, std::pair<std::string, double>> final_;  // stage, since when
  std::set<std::string> cancel_requested_, reported_cancelled_, reported_unanswered_;
};

}  // namespace sim
