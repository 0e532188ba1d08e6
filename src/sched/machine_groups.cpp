#include "sched/machine_groups.hpp"

#include <algorithm>

#include "sched/constraints.hpp"

namespace asterstair::sched {

std::vector<MachineGroup> group_machines(const std::vector<PlanMachine>& machines) {
  std::vector<MachineGroup> groups;
  for (std::size_t index = 0; index < machines.size(); ++index) {
    const PlanMachine& machine = machines[index];
    auto it = std::find_if(groups.begin(), groups.end(), [&](const MachineGroup& group) {
      return group.type == machine.type && group.spot == machine.spot &&
             *group.zone == machine.zone;
    });
    if (it == groups.end()) {
      groups.push_back({machine.type, &machine.zone, machine.spot, {}});
      it = std::prev(groups.end());
    }
    it->machines.push_back(index);
  }
  return groups;
}

bool allowed_on(const PlanJob& planned, const MachineGroup& group) {
  const JobSpec& spec = *planned.job;
  return (spec.spot || !group.spot) && spec.allows_type(group.type->name) &&
         tasks_allowed_in_zone(spec, planned.in_zone, *group.zone) > 0;
}

}  // namespace asterstair::sched
