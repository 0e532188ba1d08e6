#pragma once
/// @file
/// Compares what it costs to make room for a job's tasks on different machines. Used by
/// preemption only.

#include <cstdint>
#include <optional>
#include <vector>

#include "sched/snapshot.hpp"

namespace asterstair::sched {

/// Returns what one second of a task's time counts for, by the resources that it uses.
double weight_of_second(const JobSpec& job);

/// One machine where the next task of a job could go, and what stopping others for it costs.
struct PreemptionOffer {
  std::size_t machine = 0;           ///< Index of the machine.
  double cost = 0;                   ///< Weighted seconds of work and of start delay.
  std::vector<std::size_t> to_stop;  ///< Indexes of the preemption candidates to stop.

  /// Orders offers by cost, then by machine.
  bool operator>(const PreemptionOffer& other) const;
};

/// Makes offers on one machine, task by task: what is free first, then the candidates in their
/// order.
class MachineOffers {
 public:
  /// Takes the machine's index, its free resources, the indexes of the candidates in the order in
  /// which they would be stopped, and the cost of one task's start delay there.
  MachineOffers(std::size_t machine, const Resources& free, std::vector<std::size_t> candidates,
                double delay_cost);

  /// Returns the index of the machine.
  std::size_t machine() const { return machine_; }

  /// Returns the offer for the next task of the job, or none if there is no room even after all
  /// candidates have stopped. `all` is the list that the candidates are indexes of.
  std::optional<PreemptionOffer> next(const JobSpec& job,
                                      const std::vector<PreemptionCandidate>& all);

 private:
  std::size_t machine_;
  Resources free_;
  std::vector<std::size_t> candidates_;
  std::size_t next_candidate_ = 0;
  double delay_cost_;
};

/// The offers that are chosen for a job's tasks, one for each task.
struct PreemptionChoice {
  std::vector<PreemptionOffer> offers;  ///< The offers, in the order in which they were chosen.
  double cost = 0;                      ///< The sum of their costs.

  /// Returns whether this choice serves more tasks, or as many at less cost.
  bool better_than(const PreemptionChoice& other) const;
};

/// Returns the cheapest offers for at most `wanted` tasks of the job, within its zone rules. A job
/// that must stay in one zone and has no task anywhere yet gets the best zone's offers.
PreemptionChoice choose_offers(const Snapshot& snapshot, const PlanJob& planned,
                               const std::vector<MachineOffers>& machines,
                               const std::vector<PreemptionCandidate>& candidates,
                               std::uint32_t wanted);

}  // namespace asterstair::sched
