#include "leader/machine_removal.hpp"

#include <vector>

namespace asterstair::leader {

using cluster::Machine;
using cluster::MachineTable;

void MachineRemoval::drain(const std::string& id) {
  Machine* machine = cluster_.machines.find(id);
  if (machine == nullptr || machine->service != Machine::Service::InUse) return;
  machine->service = Machine::Service::Draining;
}

void MachineRemoval::begin_return(const std::string& id) {
  returned_.begin(id);
  if (Machine* machine = cluster_.machines.find(id)) {
    machine->service = Machine::Service::Returning;
  }
}

bool MachineRemoval::known_empty(const std::string& id) const {
  const Machine* machine = cluster_.machines.find(id);
  return machine != nullptr && machine->reconciled && machine->service != Machine::Service::InUse &&
         machine->attempts.empty();
}

void MachineRemoval::on_terminated(const std::string& id) {
  returned_.confirm(id);
  Machine* machine = cluster_.machines.find(id);
  if (machine == nullptr) return;
  std::vector<cluster::TaskEvent> events;
  MachineTable::clear(*machine, events);
  machine->lease_expired = true;
  attempts_.apply(*machine, events);
  cluster_.team_usage.refresh(*machine);
  cluster_.machines.erase(id);
  registry_.mark_stale();
  recovery_.stop_awaiting(id);
  recovery_.check_reconciled();
}

}  // namespace asterstair::leader
