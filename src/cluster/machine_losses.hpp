#pragma once
/// @file
/// How often machines are lost, by zone and kind.

#include <cstddef>
#include <map>

#include "base/time.hpp"
#include "cluster/machine_table.hpp"
#include "sched/loss.hpp"

namespace asterstair::cluster {

/// The number of machines by zone and kind.
using GroupSizes = std::map<sched::LossGroup, std::size_t>;

/// The windowed loss rates of a term, together with the sizes of the groups that they refer to.
/// Owned by cluster::ClusterState.
class MachineLosses {
 public:
  /// \param machines outlives this object
  explicit MachineLosses(const MachineTable& machines) : machines_(machines) {}

  /// The machine was lost without a notice.
  void record(const Machine& machine, TimePoint now);
  /// Expected losses of this machine a second, as its zone and kind have had them.
  double rate_of(const Machine& machine, TimePoint now) const;
  /// The rates by zone and kind.
  const sched::LossRates& rates() const { return rates_; }
  /// Counts the machines that are reconciled and hold their lease.
  GroupSizes group_sizes() const;

 private:
  const MachineTable& machines_;
  sched::LossRates rates_;
  mutable GroupSizes cached_sizes_;
  mutable TimePoint cached_sizes_at_{};
};

}  // namespace asterstair::cluster
