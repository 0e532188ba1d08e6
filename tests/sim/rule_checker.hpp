#pragma once
// The rules of PROTOCOL.

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

/// Judges the rules of PROTOCOL from what workers do and users are told alone. It shares no code
/// with the service. The stand-ins call the functions that begin with `on_`.
class RuleChecker {
 public:
  /// A team's limits; 0: none.
  struct TeamLimits {
    double max_cpus = 0, max_gpus = 0;
  };

  RuleChecker(Simulator& simulator, std::map<std::string, TeamLimits> teams, double cancel_s);

  // ---- Events ----

  /// A user submits a job.
  void on_submitted(const std::string& id, const JobRequirements& job) { jobs_[id] = job; }
  /// The task has its image: from now on it is on the machine.
  void on_task_present(const std::string& id, std::uint32_t index, const MachineTraits& machine);
  /// The task is no longer on the machine.
  void on_task_absent(const std::string& id, std::uint32_t index, const std::string& machine);
  /// The task has done all its work.
  void on_task_completed(const std::string& id, std::uint32_t index);
  /// A user queries a job.
  void on_query(const std::string& id);
  /// A user cancels a job.
  void on_cancel_requested(const std::string& id) { cancel_requested_.insert(id); }
  /// A user gets an answer to what was asked at `asked`; `stage` is empty if the answer has none.
  /// An answer under way while another was told may be the older one; only the answer to what was
  /// asked later must not be.
  void on_answer(const std::string& id, int status, const std::string& stage, bool to_submission,
                 double asked);
  /// All faults are over. From now on each accepted job's queries must be answered again within a
  /// time, on one node or another, and no job may starve.
  void on_faults_over() { faults_over_since_ = simulator_.elapsed(); }

  // ---- Periodic checks ----

  /// To be called after each event: no task of a cancelled job is left after cancel_s.
  void check_cancelled_jobs();
  /// To be called now and then: once the faults are over, no job waits for long while there is room
  /// for it all along. `memory_gb_of` tells what a task of a job needs.
  void check_waiting_jobs(const std::vector<FreeCapacity>& capacity,
                          const std::function<double(const std::string&)>& memory_gb_of);
  /// To be called at the end: of each class, of each team and of each class's largest jobs at least
  /// half were served, and the largest began in time, as far as `could_begin` says that they could.
  void check_service(const std::function<bool(const std::string&)>& could_begin);

  // ---- Results ----

  /// Whether the rule was broken.
  bool violated(const std::string& rule) const;
  /// The first violations, one a line.
  std::string report() const;

  bool is_accepted(const std::string& id) const { return accepted_.count(id) != 0; }
  /// Whether a task of the job has ever been on a machine.
  bool has_begun(const std::string& id) const { return began_.count(id) != 0; }
  /// Whether a user was told that the job is done or cancelled.
  bool is_final(const std::string& id) const { return final_.count(id) != 0; }
  /// "done", "withdrawn", or empty.
  std::string final_stage(const std::string& id) const;
  /// Whether a user was told that the job is cancelled.
  bool cancellation_confirmed(const std::string& id) const { return cancelled_.count(id) != 0; }
  const std::string& team_of(const std::string& id) const { return jobs_.at(id).team; }
  /// How many tasks of the job are on machines.
  std::size_t tasks_present(const std::string& id) const;
  /// How many times a task of the job has begun.
  std::uint64_t starts_of(const std::string& id) const;

  std::vector<std::string> violations;
  std::uint64_t starts = 0, completed_tasks = 0;
  /// Starts of jobs whose cancellation was confirmed. Counted, not a violation: a start may be
  /// under way to a machine that nothing else reaches.
  std::uint64_t starts_after_cancel = 0;
  /// Called as a job's last task completes, if set.
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
  std::map<bool, std::uint32_t> smallest_of_largest() const;
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
