#pragma once

namespace sim {

/// The time limits that workers and controllers share, in seconds, under their names in the
/// settings.
struct Timing {
  double report_s = 2, lease_s = 10, gang_wait_s = 30, gang_peer_s = 4, cancel_s = 40;
};

}  // namespace sim
