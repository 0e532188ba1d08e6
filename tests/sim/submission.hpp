#pragma once
// Jobs as simulated users submit them.

#include <cstdint>
#include <string>
#include <vector>

#include "sim/json.hpp"
#include "sim/simulator.hpp"

namespace sim {

/// What a job demands of its placement, as the rule checker knows it.
struct JobRequirements {
  std::string team, zone;
  bool gang = false, one_zone = false, spread = false, spot = false;
  bool valid = true;  ///< it can run and lacks no field
  std::uint32_t tasks = 0;
  double cpus = 0, gpus = 0;
  std::vector<std::string> types;  ///< empty: any
};

/// What a job's tasks do on a worker.
struct Workload {
  double run_s = 20, checkpoint_s = 0, save_s = 0, image_gb = 1;
  double cpus = 0, gpus = 0, memory_gb = 0;
  std::uint32_t tasks = 1;
  bool gang = false;
  bool fails = false;  ///< exits with an error wherever it is started
  std::string image;
};

/// A job to submit.
struct Submission {
  JobRequirements requirements;
  Workload workload;

  /// Copies to the requirements what the workload says of tasks, gang and resources.
  void complete_requirements();
  /// The submission's body under the job's id.
  Json body(const std::string& id) const;
};

/// An array of tasks that fit four to a machine and have no checkpoints.
Submission array_job(std::uint32_t tasks, double run_s, const std::string& team = "blue");

/// The same, also on spot machines.
Submission spot_array_job(std::uint32_t tasks, double run_s);

/// A random job, small enough for the machines of a Scenario.
Submission random_job(Simulator& simulator);

}  // namespace sim
