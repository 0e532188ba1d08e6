#include "cloud/catalog.hpp"

#include <set>

namespace asterstair::cloud {

bool Catalog::can_hold(const JobSpec& job) const {
  std::set<std::string> zones;
  for (const auto& [name, type] : types_) {
    if (!type.can_hold_task(job)) continue;
    for (const auto& zone : type.zones) {
      if (!job.zone || *job.zone == zone) zones.insert(zone);
    }
  }
  // All tasks of a gang start together, and a spread gang may have at most half of them in one
  // zone.
  const bool needs_two_zones = job.gang() && job.spread && job.tasks > 1;
  return needs_two_zones ? zones.size() > 1 && !job.one_zone : !zones.empty();
}

}  // namespace asterstair::cloud
