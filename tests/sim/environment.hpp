#pragma once

#include <string>
#include <vector>

#include "sim/job_states.hpp"
#include "sim/network.hpp"
#include "sim/rule_checker.hpp"
#include "sim/simulator.hpp"
#include "sim/timing.hpp"

namespace sim {

/// Addresses and names of the controller nodes, by index.
struct NodeList {
  std::vector<std::string> addresses, names;
};

/// The simulated services and shared state that the cloud and its workers use.
struct Environment {
  Simulator& simulator;
  Network& network;
  RuleChecker& checker;
  JobStates& jobs;
  Timing timing;
  NodeList nodes;
};

}  // namespace sim
