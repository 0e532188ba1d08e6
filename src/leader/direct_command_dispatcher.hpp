#pragma once
/// @file
/// Sends commands directly to workers, without waiting for their next heartbeats.

#include <cstdint>
#include <deque>
#include <functional>
#include <string>
#include <vector>

#include "cluster/machine_table.hpp"
#include "leader/term_context.hpp"

namespace asterstair::leader {

/// A stop command that is sent directly to a worker.
struct DirectStop {
  /// Name of the machine.
  std::string machine;
  TaskId task;                ///< the task to stop
  std::uint64_t attempt = 0;  ///< the attempt to stop
  Seconds grace{0};           ///< time that the attempt has to save a checkpoint
};

/// A bounded queue of direct commands, of which a bounded number is in flight. Only stop commands
/// can be sent directly: they may be lost, repeated or late, since the responses to heartbeats
/// repeat them. A late copy of a start could start a task that has ended, moved or been cancelled
/// in the meantime; see "Late copies of starts" in docs/design.md. Direct commands do not renew a
/// worker's lease. Owned by Term.
class DirectCommandDispatcher {
 public:
  /// What happens to the response to a command, which holds the worker's status after the command.
  enum class Response {
    Ignore,  ///< it is ignored
    Apply    ///< it is passed to `on_response`
  };

  /// \param on_response receives the responses to commands that were sent with Response::Apply
  DirectCommandDispatcher(const TermContext& context, const cluster::MachineTable& machines,
                          std::function<void(const Heartbeat&)> on_response)
      : context_(context), machines_(machines), on_response_(std::move(on_response)) {}

  /// Queues the stops, as one request per machine. Requests that cannot be sent within a
  /// heartbeat interval, or that exceed the queue's limit, are dropped.
  void send(const std::vector<DirectStop>& stops, Response response = Response::Ignore);

 private:
  struct Request {
    std::string machine;
    std::vector<Command> stops;
    TimePoint deadline;
    Response response = Response::Ignore;
  };

  void send_queued();
  void send_request(const Request& request, const cluster::Machine& machine);
  void on_http_response(const HttpResponse& http_response, Response response);

  const TermContext& context_;
  const cluster::MachineTable& machines_;
  std::function<void(const Heartbeat&)> on_response_;
  std::deque<Request> queue_;
  std::size_t in_flight_ = 0;
};

}  // namespace asterstair::leader
