#pragma once

#include <string>

namespace sim {

/// What a machine is, as its placement constraints see it.
struct MachineTraits {
  std::string machine, type, zone;
  bool spot = false;
};

/// A machine type's resources, or what is left of them.
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

/// What a machine has left for further tasks.
struct FreeCapacity {
  MachineTraits machine;
  double cpus = 0, gpus = 0, memory_gb = 0;
};

}  // namespace sim
