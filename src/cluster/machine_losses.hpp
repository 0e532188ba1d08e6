#pragma once
/// @file
/// Rates at which machines are lost, by zone and kind (spot or on-demand).

#include <cstddef>
#include <map>

#include "base/time.hpp"
#include "cluster/machine_table.hpp"
#include "sched/loss.hpp"

namespace asterstair::cluster {

/// The number of machines by zone and kind.
using GroupSizes = std::map<sched::LossGroup, std::size_t>;

/// The windowed loss rates of a term, and the sizes of the machine groups that they refer to.
/// Owned by cluster::ClusterState.
class MachineLosses {
 public:
  /// \param machines outlives this object
  explicit MachineLosses(const MachineTable& machines) : machines_(machines) {}

  /// Records that the machine was lost without a preemption notice.
  void record(const Machine& machine, TimePoint now);
  /// Expected losses of this machine per second, from the losses of its zone and kind.
  double rate_of(const Machine& machine, TimePoint now) const;
  /// The rates by zone and kind.
  const sched::LossRates& rates() const { return rates_; }
  /// Counts the reconciled machines whose lease has not expired.
  GroupSizes group_sizes() const;

 private:
  const MachineTable& machines_;
  sched::LossRates rates_;
  mutable GroupSizes cached_sizes_;
  mutable TimePoint cached_sizes_at_{};
};

}  // namespace asterstair::cluster
