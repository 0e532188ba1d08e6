#pragma once
// Jobs as simulated users submit them.

#include <cstdint>
#include <string>
#include <vector>

#include "sim/json.hpp"
#include "sim/simulator.hpp"

namespace sim {

/// The requirements of a job that the rule checker checks.
struct JobRequirements {
  std::string team, zone;
  bool gang = false, one_zone = false, spread = false, spot = false;
  bool valid = true;  ///< well-formed and able to run
  std::uint32_t tasks = 0;
  double cpus = 0, gpus = 0;
  std::vector<std::string> types;  ///< allowed machine types; empty: all
};

/// What a job's tasks need and do on a worker.
struct Workload {
  double run_s = 20, checkpoint_s = 0, save_s = 0, image_gb = 1;
  double cpus = 0, gpus = 0, memory_gb = 0;
  std::uint32_t tasks = 1;
  bool gang = false;
  bool fails = false;  ///< exits with an error on every machine
  std::string image;
};

/// A job to submit.
struct Submission {
  JobRequirements requirements;
  Workload workload;

  /// Copies the number of tasks, the gang flag and the resources from the workload to the
  /// requirements.
  void complete_requirements();
  /// The body of the submission request for job `id`.
  Json body(const std::string& id) const;
};

/// An array job without checkpoints. Four of its tasks fit on a machine.
Submission array_job(std::uint32_t tasks, double run_s, const std::string& team = "blue");

/// An array job like array_job() that may also run on spot machines.
Submission spot_array_job(std::uint32_t tasks, double run_s);

/// A random job that fits on the machines of a Scenario.
Submission random_job(Simulator& simulator);

}  // namespace sim
