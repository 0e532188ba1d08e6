#include "leader/heartbeat_commands.hpp"

namespace asterstair::leader {
namespace {

using cluster::Job;
using cluster::Machine;
using cluster::TaskAttempt;

// Maximum in one response, so that its length does not exceed the protocol's limit.
constexpr std::size_t kMaxCommands = 300;
// A start may follow the acknowledgement of the same attempt's earlier exit.
constexpr std::size_t kMaxCommandsPerStart = 2;

}  // namespace

std::vector<Command> HeartbeatCommands::stops_for_ended_jobs(const Heartbeat& heartbeat) const {
  std::vector<Command> commands;
  for (const auto& status : heartbeat.tasks) {
    if (status.state != TaskState::Exited && cluster_.jobs.find(status.task.job) == nullptr) {
      commands.push_back({Command::Op::Stop, status.task, status.attempt});
    }
  }
  return commands;
}

std::vector<Command> HeartbeatCommands::commands_for(Machine& machine) {
  std::vector<Command> commands;
  std::vector<Command> acknowledgements;
  bool any_pending = false;
  for (auto& [id, attempt] : machine.attempts) {
    any_pending = any_pending || attempt.phase == TaskAttempt::Phase::Pending;
    if (attempt.phase == TaskAttempt::Phase::Observed) {
      if (auto stop = stop_for(machine, attempt)) commands.push_back(std::move(*stop));
    } else if (attempt.phase == TaskAttempt::Phase::Terminated && may_acknowledge(attempt)) {
      attempt.acknowledge = true;
      acknowledgements.push_back({Command::Op::Acknowledge, attempt.task, attempt.attempt});
    }
  }
  commands.insert(commands.end(), acknowledgements.begin(), acknowledgements.end());
  if (commands.size() > kMaxCommands) commands.resize(kMaxCommands);
  if (any_pending) {
    attempts_.discard_stale_assignments(machine);
    add_starts(machine, commands);
  }
  return commands;
}

// Tasks of jobs that are not live must be stopped. The job is looked up here, where all stop
// commands for applied heartbeats are made, so that no case is missed.
std::optional<Command> HeartbeatCommands::stop_for(Machine& machine, TaskAttempt& attempt) const {
  if (!attempt.stopping() && cluster_.jobs.find(attempt.task.job) == nullptr) {
    machine.request_stop(attempt, Seconds(0));
  }
  if (!attempt.stopping()) return std::nullopt;
  const bool is_saving = attempt.state == TaskState::Saving && attempt.stop_grace->count() > 0;
  if (is_saving) return std::nullopt;
  return Command{Command::Op::Stop, attempt.task, attempt.attempt, *attempt.stop_grace};
}

// A completed task is acknowledged only once its completion is durable.
bool HeartbeatCommands::may_acknowledge(const TaskAttempt& attempt) const {
  if (attempt.acknowledge) return true;
  const Job* job = cluster_.jobs.find(attempt.task.job);
  return job == nullptr || (attempt.cause == ExitCause::Done && job->durable[attempt.task.index]);
}

// Adds start commands up to the limit of a response. Attempts beyond it stay pending.
void HeartbeatCommands::add_starts(Machine& machine, std::vector<Command>& commands) const {
  if (!machine.registered || launches_suspended_ || !health_.schedulable(machine)) return;
  for (auto& [id, attempt] : machine.attempts) {
    if (commands.size() + kMaxCommandsPerStart > kMaxCommands) return;
    const Job* job = cluster_.jobs.find(attempt.task.job);
    if (attempt.phase != TaskAttempt::Phase::Pending || job == nullptr) continue;
    if (job->start_record != Job::StartRecord::Durable) continue;
    Command start{Command::Op::Start, attempt.task, attempt.attempt};
    start.checkpoint_interval = gangs_.checkpoint_interval(*job, machine);
    attempt.phase = TaskAttempt::Phase::Dispatched;
    // Until its earlier exit is acknowledged, the worker ignores the start of the same attempt.
    if (attempt.rejoins) {
      commands.push_back({Command::Op::Acknowledge, attempt.task, attempt.attempt});
    }
    commands.push_back(std::move(start));
  }
}

}  // namespace asterstair::leader
