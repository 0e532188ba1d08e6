#include "leader/heartbeat_handler.hpp"

#include <algorithm>

namespace asterstair::leader {
namespace {

using cluster::HeartbeatPosition;
using cluster::Machine;
using cluster::MachineTable;
using cluster::TaskEvent;

// Added to the maximum time between two heartbeats of a worker.
constexpr auto kHeartbeatGrace = 500ms;
// Number of silent machines from which the leader attributes the silence to its own node: that many
// machines do not fail at the same time.
constexpr std::ptrdiff_t kMinSilentMachines = 3;

}  // namespace

HeartbeatHandler::HeartbeatHandler(const TermContext& context, cluster::ClusterState& cluster,
                                   const ReturnedMachines& returned, TermRecovery& recovery,
                                   MachineRegistry& registry, WorkerHealth& health,
                                   AttemptTracker& attempts, GangController& gangs,
                                   HeartbeatCommands& commands, SchedulingLoop& scheduling)
    : context_(context),
      cluster_(cluster),
      returned_(returned),
      recovery_(recovery),
      registry_(registry),
      health_(health),
      attempts_(attempts),
      gangs_(gangs),
      commands_(commands),
      scheduling_(scheduling),
      last_heartbeat_at_(context.now()) {}

HeartbeatResponse HeartbeatHandler::on_heartbeat(const Heartbeat& heartbeat) {
  last_heartbeat_at_ = context_.now();
  any_heartbeat_ = true;
  // A late copy: the cloud has confirmed that the machine is terminated, and names are not reused.
  if (returned_.terminated(heartbeat.machine)) {
    return {HeartbeatResponse::Outcome::Accepted, context_.token, {}};
  }
  Machine& machine = find_or_add(heartbeat.machine);
  const bool saw_token = heartbeat.token == context_.token;
  const HeartbeatPosition position{heartbeat.epoch, heartbeat.sequence};
  if (position > machine.latest_heartbeat) {
    if (!saw_token && health_.never_saw_token(machine)) {
      return {HeartbeatResponse::Outcome::ResponsesLost, 0, {}};
    }
    record_renewal(machine, heartbeat);
  }
  // The worker sent this heartbeat before it saw this leader's token, so it may not show the last
  // commands of the previous leader. It is not applied. The response carries the token, so the next
  // heartbeat can be applied.
  if (!saw_token) return stops_only(heartbeat);
  return apply(machine, heartbeat);
}

Machine& HeartbeatHandler::find_or_add(const std::string& id) {
  Machine& machine = cluster_.machines.at(id);
  if (machine.id.empty()) {
    machine.id = id;
    if (returned_.returning(id)) machine.service = Machine::Service::Returning;
    recovery_.on_unlisted_machine(id);
  }
  return machine;
}

// A response renews the worker's lease from the time at which the worker sent the heartbeat. A
// heartbeat that is not newer than one that has arrived was sent before that one arrived, so a
// response to it cannot renew the lease beyond the time that was recorded then. It is not recorded
// again: otherwise late copies of a dead machine's heartbeats would delay the restart of its tasks.
void HeartbeatHandler::record_renewal(Machine& machine, const Heartbeat& heartbeat) const {
  const auto now = context_.now();
  if (!machine.first_response_at) machine.first_response_at = now;
  machine.latest_heartbeat = {heartbeat.epoch, heartbeat.sequence};
  // Until the worker has seen this leader's token, an earlier leader whose lease is still valid may
  // also renew the worker's lease.
  machine.latest_possible_renewal =
      heartbeat.token == context_.token ? now : std::max(now, context_.previous_leaders_expiry);
}

HeartbeatResponse HeartbeatHandler::stops_only(const Heartbeat& heartbeat) const {
  return {HeartbeatResponse::Outcome::Accepted, context_.token,
          commands_.stops_for_ended_jobs(heartbeat)};
}

HeartbeatResponse HeartbeatHandler::apply(Machine& machine, const Heartbeat& heartbeat) {
  const bool epoch_lost = machine.reconciled && heartbeat.epoch > machine.epoch;
  std::vector<TaskEvent> events;
  const auto result =
      cluster_.machines.apply(heartbeat, context_.now(), cache_capacity_gb(heartbeat.type), events);
  if (result == MachineTable::ApplyResult::Stale) return stops_only(heartbeat);
  recovery_.stop_awaiting(machine.id);
  if (!machine.registered) registry_.request_registration(machine.id);
  if (epoch_lost) health_.on_epoch_lost(machine);
  attempts_.apply(machine, events);
  health_.on_heartbeat(machine, events);
  gangs_.on_preemption_notice(machine);
  recovery_.check_reconciled();
  scheduling_.run_if_requested();
  return {HeartbeatResponse::Outcome::Accepted, context_.token, commands_.commands_for(machine)};
}

void HeartbeatHandler::on_direct_response(const Heartbeat& heartbeat) {
  Machine* machine = cluster_.machines.find(heartbeat.machine);
  if (machine == nullptr || !machine->reconciled || machine->lease_expired) return;
  if (heartbeat.token != context_.token || heartbeat.epoch != machine->epoch) return;
  std::vector<TaskEvent> events;
  const auto result =
      cluster_.machines.apply(heartbeat, context_.now(), cache_capacity_gb(heartbeat.type), events,
                              MachineTable::Source::DirectResponse);
  if (result == MachineTable::ApplyResult::Stale) return;
  attempts_.apply(*machine, events);
  scheduling_.run_if_requested();
}

bool HeartbeatHandler::heartbeats_lost() const {
  const auto max_gap = context_.settings.heartbeat_interval * 5 / 4 + kHeartbeatGrace;
  if (!recovery_.recovered() || context_.now() - last_heartbeat_at_ < max_gap) return false;
  const auto& machines = cluster_.machines.all();
  const auto expected = std::count_if(machines.begin(), machines.end(), [](const auto& entry) {
    const Machine& machine = entry.second;
    return !machine.lease_expired && (machine.reconciled || machine.registered);
  });
  return expected >= kMinSilentMachines;
}

double HeartbeatHandler::cache_capacity_gb(const std::string& type) const {
  const auto* machine_type = context_.catalog.find(type);
  return machine_type == nullptr ? 0 : machine_type->cache_gb;
}

}  // namespace asterstair::leader
