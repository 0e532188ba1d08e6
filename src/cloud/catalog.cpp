#include "cloud/catalog.hpp"

namespace asterstair::cloud {

bool Catalog::can_hold(const JobSpec& job) const {
  for (const auto& [name, type] : types_) {
    if (job.allows_type(name) && type.fits(job) > 0 && (!job.zone || type.in_zone(*job.zone))) {
      return true;
    }
  }
  return false;
}

}  // namespace asterstair::cloud
