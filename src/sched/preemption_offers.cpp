#include "sched/preemption_offers.hpp"

#include <functional>
#include <map>
#include <queue>
#include <set>
#include <string>
#include <utility>

#include "sched/constraints.hpp"

namespace asterstair::sched {
namespace {

using OfferQueue =
    std::priority_queue<PreemptionOffer, std::vector<PreemptionOffer>, std::greater<>>;

// Chooses among the machines in the zone, or among all if `zone` is null. Takes a copy of the
// machines, because each offer uses up some of their resources.
PreemptionChoice choose_in_zone(const Snapshot& snapshot, const PlanJob& planned,
                                std::vector<MachineOffers> machines,
                                const std::vector<PreemptionCandidate>& candidates,
                                const std::string* zone, std::uint32_t tasks) {
  const JobSpec& spec = *planned.job;
  OfferQueue queue;
  std::map<std::size_t, MachineOffers*> by_machine;
  for (MachineOffers& offers : machines) {
    if (zone != nullptr && snapshot.machines[offers.machine()].zone != *zone) continue;
    by_machine[offers.machine()] = &offers;
    if (auto offer = offers.next(spec, candidates)) queue.push(std::move(*offer));
  }
  PreemptionChoice choice;
  TasksByZone in_zone = planned.in_zone;
  while (tasks > 0 && !queue.empty()) {
    PreemptionOffer offer = queue.top();
    queue.pop();
    const std::string& offer_zone = snapshot.machines[offer.machine].zone;
    if (tasks_allowed_in_zone(spec, in_zone, offer_zone) == 0) continue;
    ++in_zone[offer_zone];
    --tasks;
    if (auto next = by_machine[offer.machine]->next(spec, candidates)) queue.push(std::move(*next));
    choice.cost += offer.cost;
    choice.offers.push_back(std::move(offer));
  }
  return choice;
}

}  // namespace

double weight_per_second(const JobSpec& job) { return 1 + job.cpus + kCpusPerGpu * job.gpus; }

bool PreemptionOffer::operator>(const PreemptionOffer& other) const {
  return std::pair(cost, machine) > std::pair(other.cost, other.machine);
}

MachineOffers::MachineOffers(std::size_t machine, const Resources& free,
                             std::vector<std::size_t> candidates, double delay_cost)
    : machine_(machine), free_(free), candidates_(std::move(candidates)), delay_cost_(delay_cost) {}

std::optional<PreemptionOffer> MachineOffers::next(const JobSpec& job,
                                                   const std::vector<PreemptionCandidate>& all) {
  PreemptionOffer offer{machine_, delay_cost_, {}};
  while (!fits(job, free_)) {
    if (next_candidate_ == candidates_.size()) return std::nullopt;
    const PreemptionCandidate& candidate = all[candidates_[next_candidate_]];
    free_.add(*candidate.job);
    offer.cost += candidate.lost_work * weight_per_second(*candidate.job);
    offer.to_stop.push_back(candidates_[next_candidate_]);
    ++next_candidate_;
  }
  free_.add(job, -1);
  return offer;
}

bool PreemptionChoice::better_than(const PreemptionChoice& other) const {
  if (offers.size() != other.offers.size()) return offers.size() > other.offers.size();
  return cost < other.cost;
}

PreemptionChoice choose_offers(const Snapshot& snapshot, const PlanJob& planned,
                               const std::vector<MachineOffers>& machines,
                               const std::vector<PreemptionCandidate>& candidates,
                               std::uint32_t tasks) {
  if (!planned.job->one_zone || !planned.in_zone.empty()) {
    return choose_in_zone(snapshot, planned, machines, candidates, nullptr, tasks);
  }
  std::set<std::string> zones;
  for (const MachineOffers& offers : machines) {
    zones.insert(snapshot.machines[offers.machine()].zone);
  }
  PreemptionChoice best;
  for (const std::string& zone : zones) {
    auto choice = choose_in_zone(snapshot, planned, machines, candidates, &zone, tasks);
    if (choice.better_than(best)) best = std::move(choice);
  }
  return best;
}

}  // namespace asterstair::sched
