#pragma once

#include <ostream>

namespace sim {

/// The faults of a randomized simulation. Each field switches on one kind of fault, which then
/// happens again and again.
struct FaultMix {
  const char* name;

  bool node_crashes = false;          ///< nodes end and restart, now and then all of them
  bool store_outages = false;         ///< the state service answers 503, to one node or to all
  bool isolated_hosts = false;        ///< a worker or a node is isolated for up to 40 s
  bool spot_preemptions = false;      ///< half of the spot machines go, with and without notice
  bool failing_machines = false;      ///< a machine fails every task for 30 s
  bool cloud_outages = false;         ///< the cloud answers 503, and some machines never boot
  bool message_loss = false;          ///< messages are lost or late
  bool submission_burst = false;      ///< more jobs than usual
  bool lost_commands = false;         ///< a worker gets no answer and no command
  bool duplicate_requests = false;    ///< requests arrive again, up to 45 s later
  bool isolated_controllers = false;  ///< a controller reaches only its workers
  bool rapid_crashes = false;         ///< nodes end and restart within a fraction of a second
  bool late_transactions = false;     ///< transactions are applied late and never answered
  bool machine_hangs = false;         ///< machines hang, for less and for more than a lease
  bool lost_heartbeats = false;       ///< a worker reaches no controller, but they reach it
  bool zone_partitions = false;       ///< a zone is cut off, with its controllers
  bool mass_cancellations = false;    ///< several jobs are cancelled at once, as machines hang
  bool cancellations_at_completion = false;  ///< a job is cancelled as its last task completes
  bool invalid_requests = false;             ///< resubmissions and submissions in bad form
  bool leader_crashes = false;               ///< the leader ends ten times in two minutes
  bool all_nodes_down = false;  ///< all controllers are down, most for longer than a lease
  /// The state service refuses the leader alone, then has an outage for longer than a cancellation
  /// may take.
  bool refusal_then_outage = false;
  bool slow_responses = false;  ///< one response in ten takes 0.4 s longer

  int nodes = 3;
};

/// Prints the name, for googletest.
inline void PrintTo(const FaultMix& faults, std::ostream* out) { *out << faults.name; }

}  // namespace sim
