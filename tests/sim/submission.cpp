#include "sim/submission.hpp"

namespace sim {

void Submission::complete_requirements() {
  requirements.tasks = workload.tasks;
  requirements.gang = workload.gang;
  requirements.cpus = workload.cpus;
  requirements.gpus = workload.gpus;
}

Json Submission::body(const std::string& id) const {
  Json body = {{"ref", id},
               {"lane", workload.gang ? "gangs" : "arrays"},
               {"owner", requirements.team},
               {"shape", workload.gang ? "ensemble" : "batch"},
               {"rank", "standard"},
               {"pieces", workload.tasks},
               {"cores", workload.cpus},
               {"accelerators", workload.gpus},
               {"ramGb", workload.memory_gb},
               {"bundle", workload.image},
               {"imageGb", workload.image_gb},
               {"together", requirements.one_zone},
               {"scatter", requirements.spread},
               {"loaner", requirements.spot},
               {"expectS", workload.run_s},
               {"bookmarkS", workload.checkpoint_s},
               {"stashS", workload.save_s}};
  body["flavors"] = requirements.types.empty() ? Json(nullptr) : Json(requirements.types);
  body["yard"] = requirements.zone.empty() ? Json(nullptr) : Json(requirements.zone);
  return body;
}

Submission array_job(std::uint32_t tasks, double run_s, const std::string& team) {
  Submission job;
  job.requirements.team = team;
  job.workload.tasks = tasks;
  job.workload.cpus = 4;
  job.workload.memory_gb = 1;
  job.workload.run_s = run_s;
  job.workload.image = "img";
  job.workload.image_gb = 0.1;
  return job;
}

Submission spot_array_job(std::uint32_t tasks, double run_s) {
  auto job = array_job(tasks, run_s);
  job.requirements.spot = true;
  return job;
}

Submission random_job(Simulator& simulator) {
  Submission job;
  auto& [requirements, workload] = job;
  requirements.team = simulator.chance(0.5) ? "red" : "blue";
  requirements.spot = simulator.chance(0.6);
  workload.gang = simulator.chance(0.35);
  double max_tasks = 20;
  if (workload.gang) max_tasks = requirements.team == "red" ? 5 : 12.99;
  workload.tasks = static_cast<std::uint32_t>(simulator.uniform(1, max_tasks));
  workload.cpus = simulator.chance(0.5) ? 2 : 4;
  workload.memory_gb = 4;
  if (simulator.chance(0.3)) workload.gpus = 1;
  // A zone has enough accelerators for small gangs only.
  if (workload.gang && (requirements.team == "red" || workload.tasks > 5)) workload.gpus = 0;
  workload.run_s = simulator.uniform(5, 40);
  workload.checkpoint_s = simulator.chance(0.5) ? 5 : 0;
  workload.save_s = workload.checkpoint_s > 0 ? 2 : 0;
  workload.image = "img-" + std::to_string(static_cast<int>(simulator.uniform(0, 4)));
  workload.image_gb = 1;
  requirements.one_zone = workload.gang && simulator.chance(0.4);
  requirements.spread = !requirements.one_zone && simulator.chance(0.3);
  if (simulator.chance(0.2)) requirements.zone = "south";
  if (!requirements.zone.empty()) requirements.spread = false;
  return job;
}

}  // namespace sim
