#include "leader/gang_controller.hpp"

#include "sched/score.hpp"

namespace asterstair::leader {
namespace {

using cluster::Job;
using cluster::Machine;
using cluster::TaskAttempt;

// A task is expected to end before its machine is reclaimed if its estimated remaining time fits
// into this share of the notice. The rest allows for inaccurate estimates.
constexpr double kUsableNoticeShare = 0.7;
constexpr Seconds kAssumedNotice{3600};  // for a faulty machine without a preemption notice
constexpr Seconds kRestartTime{1};       // of a task whose image is cached

}  // namespace

void GangController::stop_broken_gangs() {
  std::vector<DirectStop> stops;
  for (const auto& [id, job] : cluster_.jobs.all()) {
    if (!job.spec->gang() || job.assignments.empty() || job.waiting.empty()) continue;
    stop_gang(job, Seconds(0), stops);
  }
  direct_commands_.send(stops);
}

// Tasks of a machine that is only being drained are not stopped here: they may end by themselves.
void GangController::on_preemption_notice(Machine& machine) {
  if (!machine.reclaim_at && !machine.health.faulty) return;
  std::vector<DirectStop> stops;
  for (auto& [id, attempt] : machine.attempts) {
    if (attempt.phase != TaskAttempt::Phase::Observed || attempt.stopping() || !attempt.job) {
      continue;
    }
    const auto grace = grace_before_reclaim(machine, attempt);
    if (!grace) continue;
    if (!attempt.job->gang()) {
      machine.request_stop(attempt, *grace);
    } else if (const Job* job = cluster_.jobs.find(attempt.task.job)) {
      stop_gang(*job, *grace, stops);
    }
  }
  direct_commands_.send(stops);
}

// The grace period with which the task is to be stopped; none if it may continue.
std::optional<Seconds> GangController::grace_before_reclaim(const Machine& machine,
                                                            const TaskAttempt& attempt) const {
  const auto now = context_.now();
  const Seconds notice = machine.reclaim_at ? Seconds(*machine.reclaim_at - now) : kAssumedNotice;
  const JobSpec& job = *attempt.job;
  if (job.checkpoint_interval.count() > 0 &&
      sched::final_checkpoint_fits(job.checkpoint_time, kRestartTime, notice)) {
    return checkpoint_grace(job);
  }
  // A task that can neither save nor end in time loses its work in any case. If it is stopped now,
  // it restarts elsewhere sooner than after the expiry of the machine's lease.
  const Seconds run_time =
      attempt.running_since ? Seconds(now - *attempt.running_since) : Seconds(0);
  if (!machine.reclaim_at || job.estimate - run_time <= notice * kUsableNoticeShare)
    return std::nullopt;
  return Seconds(0);
}

Seconds GangController::checkpoint_grace(const JobSpec& job) const {
  if (job.checkpoint_interval.count() <= 0) return Seconds(0);
  return job.checkpoint_time + Seconds(context_.settings.gang_peer_timeout);
}

void GangController::stop_gang(const Job& job, Seconds grace, std::vector<DirectStop>& stops) {
  for (const auto& [index, assignment] : job.assignments) {
    Machine* machine = cluster_.machines.find(assignment.machine);
    if (machine == nullptr) continue;
    TaskAttempt* attempt = machine->find_attempt({job.spec->id, index}, assignment.attempt);
    if (attempt == nullptr || attempt->stopping()) continue;
    machine->request_stop(*attempt, grace);
    if (job.spec->tasks > 1 && attempt->phase != TaskAttempt::Phase::Pending) {
      stops.push_back({machine->id, attempt->task, assignment.attempt, grace});
    }
  }
}

std::optional<Seconds> GangController::checkpoint_interval(const Job& job,
                                                           const Machine& machine) const {
  if (job.spec->checkpoint_interval.count() <= 0) return std::nullopt;
  const auto now = context_.now();
  double loss_rate = 0;
  if (job.spec->gang()) {
    for (const auto& [index, assignment] : job.assignments) {
      const Machine* other = cluster_.machines.find(assignment.machine);
      if (other != nullptr) loss_rate += cluster_.losses.rate_of(*other, now);
    }
  } else {
    loss_rate = cluster_.losses.rate_of(machine, now);
  }
  return sched::checkpoint_interval(job.spec->checkpoint_time, loss_rate, sched::kLossBudget);
}

}  // namespace asterstair::leader
