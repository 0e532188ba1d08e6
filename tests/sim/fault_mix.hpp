#pragma once

#include <ostream>

namespace sim {

/// The faults of a randomized simulation. Each field enables one kind of fault, which then recurs
/// throughout the run.
struct FaultMix {
  const char* name;  ///< names the test and the digest

  bool node_crashes = false;      ///< nodes crash and restart, sometimes all at once
  bool store_outages = false;     ///< the state service answers 503 to one node or to all
  bool isolated_hosts = false;    ///< a worker or a node is isolated for up to 40 s
  bool spot_preemptions = false;  ///< half of the spot machines are reclaimed, some without notice
  bool failing_machines = false;  ///< every task on a machine fails for 30 s
  bool cloud_outages = false;     ///< the cloud answers 503, and some machines never boot
  bool message_loss = false;      ///< messages are lost or delayed
  bool submission_burst = false;  ///< jobs are submitted at a higher rate
  bool lost_commands = false;     ///< a worker receives no responses and no commands
  bool duplicate_requests = false;    ///< requests are delivered again, up to 45 s later
  bool isolated_controllers = false;  ///< a controller reaches only workers and users
  bool rapid_crashes = false;         ///< nodes crash and restart within a fraction of a second
  bool late_transactions = false;     ///< transactions are applied late and get no response
  bool machine_hangs = false;         ///< machines hang, for less or more than a lease
  bool lost_heartbeats = false;  ///< a worker's messages to controllers are lost, not theirs to it
  bool zone_partitions = false;  ///< a zone, with its controllers, is partitioned off
  bool mass_cancellations = false;  ///< several jobs are cancelled at once, while machines hang
  bool cancellations_at_completion = false;  ///< a job is cancelled as its last task completes
  bool invalid_requests = false;  ///< invalid submissions, and resubmissions with changes
  bool leader_crashes = false;    ///< the leader crashes about ten times in two minutes
  bool all_nodes_down = false;    ///< all controllers are down, most for longer than a lease
  /// The state service answers 503 to the leader only, then has an outage that exceeds the
  /// cancellation deadline.
  bool refusal_then_outage = false;
  bool slow_responses = false;  ///< one response in ten takes 0.4 s longer

  int nodes = 3;  ///< number of controllers
};

/// Prints the name, for googletest.
inline void PrintTo(const FaultMix& faults, std::ostream* out) { *out << faults.name; }

}  // namespace sim
