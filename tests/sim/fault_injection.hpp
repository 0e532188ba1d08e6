#pragma once

#include "sim/fault_mix.hpp"
#include "sim/scenario.hpp"

namespace sim {

/// Schedules random submissions and the faults, then runs the simulation until `length` seconds.
/// Faults that are active at that time last until their scheduled ends. The scenario's seed
/// determines the whole run.
void run_randomized(Scenario& scenario, const FaultMix& faults, double length);

/// Ends all active faults except crashes and hangs, which end as scheduled.
void end_all_faults(Scenario& scenario);

}  // namespace sim
