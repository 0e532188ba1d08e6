#include "leader/direct_command_dispatcher.hpp"

#include <algorithm>
#include <map>

#include "base/log.hpp"
#include "wire/worker.hpp"

namespace asterstair::leader {
namespace {

constexpr auto kRequestTimeout = 2s;
// Limit of the requests in flight: one per kConnectionsPerRequest connections, but at least
// kMinInFlight. A job may run on hundreds of machines, some of them unreachable, and the state
// service needs connections too.
constexpr std::size_t kMinInFlight = 24;
constexpr std::size_t kConnectionsPerRequest = 32;
constexpr std::size_t kMaxQueuedPerMachine = 4;  // limit of the queue, per known machine

}  // namespace

void DirectCommandDispatcher::send(const std::vector<DirectStop>& stops, Response response) {
  if (stops.empty() || !context_.election.lease_valid()) return;
  std::map<std::string, std::vector<Command>> by_machine;
  for (const auto& stop : stops) {
    by_machine[stop.machine].push_back({Command::Op::Stop, stop.task, stop.attempt, stop.grace});
  }
  const auto deadline = context_.now() + context_.settings.heartbeat_interval;
  for (auto& [machine, machine_stops] : by_machine) {
    if (queue_.size() >= kMaxQueuedPerMachine * machines_.all().size()) break;
    queue_.push_back({machine, std::move(machine_stops), deadline, response});
  }
  send_queued();
}

void DirectCommandDispatcher::send_queued() {
  const auto max_in_flight =
      std::max(kMinInFlight, context_.settings.max_connections / kConnectionsPerRequest);
  while (!queue_.empty() && in_flight_ < max_in_flight && context_.election.lease_valid()) {
    const Request request = std::move(queue_.front());
    queue_.pop_front();
    const auto* machine = machines_.find(request.machine);
    if (machine == nullptr || machine->address.empty()) continue;
    if (request.deadline < context_.now()) continue;
    send_request(request, *machine);
  }
}

void DirectCommandDispatcher::send_request(const Request& request,
                                           const cluster::Machine& machine) {
  ++in_flight_;
  auto body = wire::encode_direct_commands(context_.token, machine.epoch, request.stops);
  auto on_result = [this, response = request.response](const HttpResponse& http_response) {
    on_http_response(http_response, response);
  };
  context_.runtime.http(machine.address,
                        {"POST", std::string(wire::kDirectCommandPath), std::move(body)},
                        kRequestTimeout, context_.while_alive(std::move(on_result)));
}

void DirectCommandDispatcher::on_http_response(const HttpResponse& http_response,
                                               Response response) {
  --in_flight_;
  if (response == Response::Apply && http_response.status == 200) {
    try {
      on_response_(wire::decode_heartbeat(http_response.body));
    } catch (const wire::DecodeError& error) {
      log::error("malformed response to a direct command: {}", error.what());
    }
  }
  send_queued();
}

}  // namespace asterstair::leader
