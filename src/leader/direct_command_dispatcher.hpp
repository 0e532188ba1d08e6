#pragma once
/// @file
/// Commands that are sent straight to workers, without waiting for their next heartbeat.

#include <deque>
#include <functional>
#include <string>
#include <vector>

#include "cluster/machine_table.hpp"
#include "leader/term_context.hpp"

namespace asterstair::leader {

/// A command and the machine that it is for.
struct DirectCommand {
  /// Name of the machine.
  std::string machine;
  /// What its worker is told.
  Command command;
};

/// A bounded queue of direct commands, a bounded number of them in flight. Only stops are sent so:
/// they may be repeated and lost, since the responses to heartbeats say the same. Direct commands
/// do not renew a worker's lease. Owned by Term.
class DirectCommandDispatcher {
 public:
  /// Whether the response to a command, which is the worker's status after it, is wanted.
  enum class Response {
    Ignore,  ///< it is dropped
    Apply    ///< it is handed to `on_response`
  };

  /// \param on_response receives the responses that are wanted
  DirectCommandDispatcher(const TermContext& context, const cluster::MachineTable& machines,
                          std::function<void(const Heartbeat&)> on_response)
      : context_(context), machines_(machines), on_response_(std::move(on_response)) {}

  /// Queues the commands, one request for each machine. Those that cannot be sent within a
  /// heartbeat interval are dropped.
  void send(const std::vector<DirectCommand>& commands, Response response = Response::Ignore);

 private:
  struct Request {
    std::string machine;
    std::vector<Command> commands;
    TimePoint give_up_at;
    Response response = Response::Ignore;
  };

  void send_queued();
  void send_request(const Request& request, const cluster::Machine& machine);
  void on_answer(const HttpResponse& answer, Response response);

  const TermContext& context_;
  const cluster::MachineTable& machines_;
  std::function<void(const Heartbeat&)> on_response_;
  std::deque<Request> queue_;
  std::size_t in_flight_ = 0;
};

}  // namespace asterstair::leader
