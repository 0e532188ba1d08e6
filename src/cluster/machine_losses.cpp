#include "cluster/machine_losses.hpp"

namespace asterstair::cluster {
namespace {

// Age at which cached group sizes are recomputed. Loss rates are looked up for every start, while
// group sizes change slowly.
constexpr auto kSizesMaxAge = 1s;

}  // namespace

void MachineLosses::record(const Machine& machine, TimePoint now) {
  rates_.record_loss({machine.zone, machine.spot}, now);
}

double MachineLosses::rate_of(const Machine& machine, TimePoint now) const {
  if (cached_sizes_.empty() || now - cached_sizes_at_ > kSizesMaxAge) {
    cached_sizes_ = group_sizes();
    cached_sizes_at_ = now;
  }
  const sched::LossGroup group{machine.zone, machine.spot};
  const auto size = cached_sizes_.find(group);
  return rates_.rate(group, size == cached_sizes_.end() ? 1 : size->second, now);
}

GroupSizes MachineLosses::group_sizes() const {
  GroupSizes sizes;
  for (const auto& [id, machine] : machines_.all()) {
    if (machine.reconciled && !machine.lease_expired) ++sizes[{machine.zone, machine.spot}];
  }
  return sizes;
}

}  // namespace asterstair::cluster
