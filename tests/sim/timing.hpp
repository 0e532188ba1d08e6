#pragma once

namespace sim {

/// The times that workers and controllers agree on, in seconds, as the settings name them.
struct Timing {
  double report_s = 2, lease_s = 10, gang_wait_s = 30, gang_peer_s = 4, cancel_s = 40;
};

}  // namespace sim
