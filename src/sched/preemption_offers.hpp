#pragma once
/// @file
/// Compares the cost of making room for a job's tasks on different machines. Used by preemption
/// only.

#include <cstdint>
#include <optional>
#include <vector>

#include "sched/snapshot.hpp"

namespace asterstair::sched {

/// Returns the weight of one second of a task's running time, which grows with the resources that
/// the task uses.
double weight_per_second(const JobSpec& job);

/// A machine where one task of a job could be placed, and the cost of making room for it there.
struct PreemptionOffer {
  std::size_t machine = 0;           ///< Index of the machine.
  double cost = 0;                   ///< Weighted seconds of lost work and of start delay.
  std::vector<std::size_t> to_stop;  ///< Indexes of the preemption candidates to stop.

  /// Orders offers by cost, then by machine.
  bool operator>(const PreemptionOffer& other) const;
};

/// Makes one offer for each further task of a job on one machine. Uses the free resources first,
/// then those of the preemption candidates in their order.
class MachineOffers {
 public:
  /// Takes the machine's index, its free resources, the indexes of its candidates in the order in
  /// which they would be stopped, and the cost of a task's start delay on the machine.
  MachineOffers(std::size_t machine, const Resources& free, std::vector<std::size_t> candidates,
                double delay_cost);

  /// Returns the index of the machine.
  std::size_t machine() const { return machine_; }

  /// Returns the offer for the next task of the job, or nothing if stopping all candidates would
  /// not make room. `all` is the list that the indexes of the candidates refer to.
  std::optional<PreemptionOffer> next(const JobSpec& job,
                                      const std::vector<PreemptionCandidate>& all);

 private:
  std::size_t machine_;
  Resources free_;
  std::vector<std::size_t> candidates_;
  std::size_t next_candidate_ = 0;
  double delay_cost_;
};

/// The offers chosen for a job, one for each task.
struct PreemptionChoice {
  std::vector<PreemptionOffer> offers;  ///< The offers, in the order in which they were chosen.
  double cost = 0;                      ///< Sum of the offers' costs.

  /// Returns whether this choice places more tasks, or as many at a lower cost.
  bool better_than(const PreemptionChoice& other) const;
};

/// Returns the cheapest offers for at most `tasks` tasks of the job, within its zone constraints.
/// For a job that must stay in one zone and has no task in any zone yet, returns the best zone's
/// offers.
PreemptionChoice choose_offers(const Snapshot& snapshot, const PlanJob& planned,
                               const std::vector<MachineOffers>& machines,
                               const std::vector<PreemptionCandidate>& candidates,
                               std::uint32_t tasks);

}  // namespace asterstair::sched
