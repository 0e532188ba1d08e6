#pragma once

#include "sim/fault_mix.hpp"
#include "sim/scenario.hpp"

namespace sim {

/// Submits random jobs and injects the faults, then runs the simulation until `length` seconds.
/// Faults that are under way then end later, in time. Everything follows from the scenario's seed.
void run_randomized(Scenario& scenario, const FaultMix& faults, double length);

/// Ends all faults that last, except crashes and hangs, which end by themselves.
void end_all_faults(Scenario& scenario);

}  // namespace sim
