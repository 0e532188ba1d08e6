#include "sim/rule_checker.hpp"

#include <algorithm>
#include <cmath>

namespace sim {

namespace {

constexpr double kMaxUnansweredS = 75, kMaxStartDelayS = 240, kMaxWaitBesideRoomS = 90;
constexpr double kTolerance = 1e-6;  // for rounding errors in sums of resources
constexpr std::size_t kMaxReportedViolations = 10;

bool allows_type(const JobRequirements& job, const std::string& type) {
  return job.types.empty() ||
         std::find(job.types.begin(), job.types.end(), type) != job.types.end();
}

bool allows_machine(const JobRequirements& job, const MachineTraits& machine) {
  return allows_type(job, machine.type) && (job.zone.empty() || job.zone == machine.zone) &&
         (job.spot || !machine.spot);
}

/// The maximum number of tasks of a spread job in one zone.
std::uint32_t max_tasks_per_zone(const JobRequirements& job) { return (job.tasks + 1) / 2; }

/// How many tasks of the job fit on the machine, at most `wanted`.
std::uint32_t fitting_tasks(const JobRequirements& job, double memory_gb, const FreeCapacity& free,
                            std::uint32_t wanted) {
  double tasks = wanted;
  const auto bound = [&tasks](double each, double available) {
    if (each > 0) tasks = std::min(tasks, std::floor(available / each + kTolerance));
  };
  bound(job.cpus, free.cpus);
  bound(job.gpus, free.gpus);
  bound(memory_gb, free.memory_gb);
  return static_cast<std::uint32_t>(std::max(0.0, tasks));
}

}  // namespace

RuleChecker::RuleChecker(Simulator& simulator, std::map<std::string, TeamLimits> teams,
                         double cancel_s)
    : simulator_(simulator), teams_(std::move(teams)), cancel_s_(cancel_s) {}

void RuleChecker::fail(const std::string& rule, const std::string& id, std::uint32_t index,
                       const std::string& detail) {
  violations.push_back(rule + " at " + std::to_string(simulator_.elapsed()) + " s: " + id + "/" +
                       std::to_string(index) + " " + detail);
}

// ---- Tasks ----

void RuleChecker::on_task_present(const std::string& id, std::uint32_t index,
                                  const MachineTraits& machine) {
  ++starts;
  ++starts_of_[id];
  if (cancellation_confirmed(id)) ++starts_after_cancel;
  began_.emplace(id, simulator_.elapsed());
  auto& here = present_[id];
  if (const auto it = here.find(index); it != here.end()) {
    fail("duplicate_execution", id, index, machine.machine + " while on " + it->second.machine);
  }
  check_machine(id, index, machine);
  check_zones(id, index, machine);
  here[index] = machine;
  const auto cancelled = cancelled_.find(id);
  if (cancelled != cancelled_.end() && simulator_.elapsed() > cancelled->second + cancel_s_) {
    fail("ran_after_cancellation", id, index, "started");
  }
  check_limits(id, index);
}

void RuleChecker::check_machine(const std::string& id, std::uint32_t index,
                                const MachineTraits& machine) {
  if (!allows_machine(jobs_.at(id), machine)) fail("wrong_placement", id, index, machine.machine);
}

/// Checks the machine's zone against those of the job's tasks that are on machines already.
void RuleChecker::check_zones(const std::string& id, std::uint32_t index,
                              const MachineTraits& machine) {
  const auto& job = jobs_.at(id);
  std::uint32_t same_zone = 1;
  for (const auto& [other_index, other] : present_[id]) {
    if (job.one_zone && other.zone != machine.zone)
      fail("wrong_placement", id, index, "another zone");
    if (other.zone == machine.zone) ++same_zone;
  }
  if (job.spread && same_zone > max_tasks_per_zone(job))
    fail("wrong_placement", id, index, "not spread");
}

void RuleChecker::check_limits(const std::string& id, std::uint32_t index) {
  const auto& job = jobs_.at(id);
  if (!within_limits(job, 0)) fail("quota", id, index, job.team);
}

RuleChecker::Usage RuleChecker::usage_of(const std::string& team) const {
  Usage usage;
  for (const auto& [id, tasks] : present_) {
    const auto& job = jobs_.at(id);
    if (job.team != team) continue;
    usage.cpus += job.cpus * static_cast<double>(tasks.size());
    usage.gpus += job.gpus * static_cast<double>(tasks.size());
  }
  return usage;
}

/// Whether the job's team stays within its limits with `more_tasks` more tasks of the job.
bool RuleChecker::within_limits(const JobRequirements& job, std::uint32_t more_tasks) const {
  const auto team = teams_.find(job.team);
  if (team == teams_.end()) return true;
  const auto& limits = team->second;
  const auto usage = usage_of(job.team);
  const auto exceeds = [&](double used, double each, double limit) {
    return limit > 0 && used + each * more_tasks > limit + kTolerance;
  };
  return !exceeds(usage.cpus, job.cpus, limits.max_cpus) &&
         !exceeds(usage.gpus, job.gpus, limits.max_gpus);
}

void RuleChecker::on_task_absent(const std::string& id, std::uint32_t index,
                                 const std::string& machine) {
  auto& here = present_[id];
  const auto it = here.find(index);
  if (it != here.end() && it->second.machine == machine) here.erase(it);
}

void RuleChecker::on_task_completed(const std::string& id, std::uint32_t index) {
  if (!completed_[id].insert(index).second) return;
  ++completed_tasks;
  if (on_job_completed && completed_of(id) == jobs_.at(id).tasks) on_job_completed(id);
}

// ---- Answers ----

void RuleChecker::on_answer(const std::string& id, int status, const std::string& stage,
                            bool to_submission, double asked) {
  if (jobs_.count(id) == 0) {
    if (status == 200) fail("unknown_job_answered", id, 0, stage);
    return;
  }
  check_answer_to_accepted(id, status, to_submission, asked);
  if (status != 200 && status != 201) return;
  unanswered_since_.erase(id);
  accepted_.emplace(id, simulator_.elapsed());
  if (!jobs_.at(id).valid) fail("invalid_job_accepted", id, 0, "accepted");
  check_stage(id, stage, asked);
  const bool cancelled = stage == "withdrawn";
  if (stage == "done" || cancelled) final_.emplace(id, std::pair(stage, simulator_.elapsed()));
  if (cancelled) cancelled_.emplace(id, simulator_.elapsed());
}

/// An accepted job must stay known, and a repeated submission must not be rejected. Only answers to
/// requests from after the acceptance count.
void RuleChecker::check_answer_to_accepted(const std::string& id, int status, bool to_submission,
                                           double asked) {
  const auto accepted = accepted_.find(id);
  if (accepted == accepted_.end() || asked < accepted->second) return;
  const bool refused = to_submission && (status == 400 || status == 422);
  if (status == 404 || refused) fail("job_lost", id, 0, std::to_string(status));
}

/// A final stage must be correct and must not change.
void RuleChecker::check_stage(const std::string& id, const std::string& stage, double asked) {
  if (stage == "done" && completed_of(id) < jobs_.at(id).tasks)
    fail("done_before_completion", id, 0, "");
  if (stage == "withdrawn" && cancel_requested_.count(id) == 0) {
    fail("invalid_stage_change", id, 0, "cancelled without a request");
  }
  const auto before = final_.find(id);
  if (before == final_.end()) return;
  const auto& [final_stage, since] = before->second;
  if (final_stage != stage && asked >= since) {
    fail("invalid_stage_change", id, 0, final_stage + " then " + stage);
  }
}

void RuleChecker::on_query(const std::string& id) {
  if (!is_accepted(id) || faults_over_since_ < 0) return;
  const double now = simulator_.elapsed();
  const auto since = std::max(faults_over_since_, unanswered_since_.emplace(id, now).first->second);
  if (now - since > kMaxUnansweredS && reported_unanswered_.insert(id).second) {
    fail("job_lost", id, 0, "no query answered");
  }
}

// ---- Periodic checks ----

void RuleChecker::check_cancelled_jobs() {
  for (const auto& [id, since] : cancelled_) {
    if (simulator_.elapsed() <= since + cancel_s_ || reported_cancelled_.count(id) != 0) continue;
    const auto it = present_.find(id);
    if (it != present_.end() && !it->second.empty()) {
      reported_cancelled_.insert(id);
      fail("ran_after_cancellation", id, it->second.begin()->first, "still on a machine");
    }
  }
}

void RuleChecker::check_waiting_jobs(
    const std::vector<FreeCapacity>& capacity,
    const std::function<double(const std::string&)>& memory_gb_of) {
  if (faults_over_since_ < 0) return;
  const double now = simulator_.elapsed();
  for (const auto& [id, accepted_at] : accepted_) {
    if (!is_waiting(id) || !has_room(jobs_.at(id), capacity, memory_gb_of(id))) {
      waiting_since_.erase(id);
    } else if (now - waiting_since_.emplace(id, now).first->second > kMaxWaitBesideRoomS) {
      fail("starvation", id, 0, "waits for more than 90 s although there is room");
      waiting_since_[id] = now;
    }
  }
}

bool RuleChecker::is_waiting(const std::string& id) const {
  return !is_final(id) && cancel_requested_.count(id) == 0 &&
         completed_of(id) < jobs_.at(id).tasks && tasks_present(id) == 0;
}

/// Whether the job's next task, or all tasks of a gang, would fit into the free capacity now.
bool RuleChecker::has_room(const JobRequirements& job, const std::vector<FreeCapacity>& capacity,
                           double memory_gb) const {
  const std::uint32_t wanted = job.gang ? job.tasks : 1;
  if (!within_limits(job, wanted)) return false;
  std::map<std::string, std::uint32_t> by_zone;
  for (const auto& free : capacity) {
    if (allows_machine(job, free.machine)) {
      by_zone[free.machine.zone] += fitting_tasks(job, memory_gb, free, wanted);
    }
  }
  std::uint32_t total = 0, largest_zone = 0;
  for (const auto& [zone, tasks] : by_zone) {
    total += job.spread ? std::min(tasks, max_tasks_per_zone(job)) : tasks;
    largest_zone = std::max(largest_zone, tasks);
  }
  return (job.one_zone ? largest_zone : total) >= wanted;
}

void RuleChecker::check_service(const std::function<bool(const std::string&)>& could_begin) {
  struct Share {
    unsigned total = 0, served = 0;
  };
  std::map<std::string, Share> shares;
  const auto min_tasks_of_largest = min_tasks_of_largest_tenth();
  for (const auto& [id, job] : jobs_) {
    if (!counts_for_service(id)) continue;
    const bool largest = job.tasks >= min_tasks_of_largest.at(job.gang);
    const std::string name = job.gang ? "gangs" : "arrays";
    for (const auto& key : {name, "team " + job.team, largest ? "largest " + name : ""}) {
      if (key.empty()) continue;
      ++shares[key].total;
      if (completed_of(id) >= job.tasks) ++shares[key].served;
    }
    const auto began = began_.find(id);
    const double waited =
        (began == began_.end() ? simulator_.elapsed() : began->second) - accepted_.at(id);
    if (largest && waited > kMaxStartDelayS && could_begin(id)) {
      fail("underserved", id, 0, "began after " + std::to_string(waited) + " s");
    }
  }
  for (const auto& [key, share] : shares) {
    if (share.served * 2 < share.total)
      fail("underserved", key, share.served, "jobs served, less than half");
  }
}

bool RuleChecker::counts_for_service(const std::string& id) const {
  return is_accepted(id) && cancel_requested_.count(id) == 0;
}

/// The minimum number of tasks of the largest tenth of the jobs, for arrays (false) and gangs
/// (true).
std::map<bool, std::uint32_t> RuleChecker::min_tasks_of_largest_tenth() const {
  std::map<bool, std::vector<std::uint32_t>> sizes;
  for (const auto& [id, job] : jobs_) {
    if (counts_for_service(id)) sizes[job.gang].push_back(job.tasks);
  }
  std::map<bool, std::uint32_t> min_tasks;
  for (auto& [gang, list] : sizes) {
    std::sort(list.begin(), list.end());
    min_tasks[gang] = list[list.size() * 9 / 10];
  }
  return min_tasks;
}

// ---- Results ----

bool RuleChecker::violated(const std::string& rule) const {
  return std::any_of(violations.begin(), violations.end(),
                     [&](const auto& violation) { return violation.starts_with(rule); });
}

std::string RuleChecker::report() const {
  std::string lines;
  for (std::size_t i = 0; i < violations.size() && i < kMaxReportedViolations; ++i) {
    lines += violations[i] + "\n";
  }
  return lines;
}

std::string RuleChecker::final_stage(const std::string& id) const {
  const auto it = final_.find(id);
  return it == final_.end() ? "" : it->second.first;
}

std::size_t RuleChecker::tasks_present(const std::string& id) const {
  const auto it = present_.find(id);
  return it == present_.end() ? 0 : it->second.size();
}

std::size_t RuleChecker::completed_of(const std::string& id) const {
  const auto it = completed_.find(id);
  return it == completed_.end() ? 0 : it->second.size();
}

std::uint64_t RuleChecker::starts_of(const std::string& id) const {
  const auto it = starts_of_.find(id);
  return it == starts_of_.end() ? 0 : it->second;
}

}  // namespace sim
