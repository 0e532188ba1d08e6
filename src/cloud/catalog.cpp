#include "cloud/catalog.hpp"

#include <set>

namespace asterstair::cloud {

bool Catalog::can_hold(const JobSpec& job) const {
  std::set<std::string> zones;
  for (const auto& [name, type] : types_) {
    if (!job.allows_type(name) || type.fits(job) == 0) continue;
    for (const auto& z : type.zones) {
      if (!job.zone || *job.zone == z) zones.insert(z);
    }
  }
  // All of a gang at once, at most half of it in one zone: never in one zone alone.
  const bool apart = job.gang() && job.spread && job.tasks > 1;
  return apart ? zones.size() > 1 && !job.one_zone : !zones.empty();
}

}  // namespace asterstair::cloud
