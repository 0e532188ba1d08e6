#pragma once

#include <string>

namespace sim {

/// The attributes of a machine that placement constraints refer to.
struct MachineTraits {
  std::string machine, type, zone;
  bool spot = false;
};

/// The resources of a machine type, or the free part of them.
struct MachineShape {
  std::string type;
  double cpus, gpus, memory_gb, gb_per_s;
};

/// A rented machine.
struct MachineSpec {
  std::string id, address, zone;
  MachineShape shape;
  bool spot;
};

/// The resources of a machine that are free for further tasks.
struct FreeCapacity {
  MachineTraits machine;
  double cpus = 0, gpus = 0, memory_gb = 0;
};

}  // namespace sim
