#include "autoscale/desired_machines.hpp"

#include <algorithm>
#include <cmath>
#include <optional>

#include "sched/score.hpp"

namespace asterstair::autoscale {
namespace {

// Job arrays without accelerators may use accelerator machines once they would queue for longer
// than this many boot times of such a machine.
constexpr double kBacklogBoots = 0.75;

sched::Resources capacity_of(const MachineType& type) {
  return {type.cpus, type.gpus, type.memory_gb};
}

// A machine that is pending or to be rented.
struct FutureMachine {
  const MachineType* type;
  std::string zone;
  bool spot;
  sched::Resources free;  // what is left after the tasks that it is meant for

  bool allows(const JobSpec& job) const {
    return job.allows_type(type->name) && (!spot || job.spot) && (!job.zone || *job.zone == zone);
  }
  // Reserves room for up to `limit` tasks; returns for how many there was room.
  std::uint32_t fill(const JobSpec& job, std::uint32_t limit) {
    std::uint32_t tasks = 0;
    while (tasks < limit && sched::fits(job, free)) {
      free.add(job, -1);
      ++tasks;
    }
    return tasks;
  }
};

// A machine type at one of its two prices.
struct Offer {
  const MachineType* type = nullptr;
  bool spot = false;
  double price = 0;  // of the room for one task
};

// Packs the demand onto the pending machines, and onto new ones where these are full.
class Packing {
 public:
  Packing(const PendingMachines& pending, const Market& market) : market_(market) {
    for (const auto& [id, machine] : pending) {
      const auto* type = market_.catalog.find(machine.pool.type);
      if (type == nullptr) continue;
      machines_.push_back({type, machine.pool.zone, machine.pool.spot, capacity_of(*type)});
    }
  }

  void add(const leader::Demand& demand) {
    const JobSpec& job = *demand.job;
    std::uint32_t tasks_left = demand.tasks;
    for (auto& machine : machines_) {
      if (tasks_left == 0) return;
      if (machine.allows(job)) tasks_left -= machine.fill(job, tasks_left);
    }
    if (tasks_left == 0) return;
    if (const auto offer = best_offer(demand)) rent(demand, *offer, tasks_left);
  }

  std::vector<DesiredMachines> result() && { return std::move(desired_); }

 private:
  // Returns the loss rate of the safest zone that may have such machines, or nothing if none may.
  std::optional<double> lowest_loss_rate(const JobSpec& job, const MachineType& type,
                                         bool spot) const {
    std::optional<double> lowest;
    for (const auto& zone : type.zones) {
      const Pool pool{type.name, zone, spot};
      if ((job.zone && *job.zone != zone) || market_.is_refused(pool)) continue;
      const double rate = market_.loss_rate(pool);
      lowest = lowest ? std::min(*lowest, rate) : rate;
    }
    return lowest;
  }

  // Returns the price of the room for one task. The machine's whole room is divided, since other
  // tasks will share it. Work lost with a machine is paid for again.
  static double price_per_task(const leader::Demand& demand, const MachineType& type, bool spot,
                               double loss_rate) {
    constexpr double kLeastCpus = 1e-9;  // avoids a division by zero
    const JobSpec& job = *demand.job;
    double tasks = type.cpus / std::max(job.cpus, kLeastCpus);
    if (job.gpus > 0) tasks = std::min(tasks, type.gpus / job.gpus);
    if (job.memory_gb > 0) tasks = std::min(tasks, type.memory_gb / job.memory_gb);
    const double runs = 1 + sched::loss_probability(loss_rate, demand.remaining);
    const double price = spot ? type.spot_price : type.price;
    return price * runs / std::floor(tasks + sched::kRoundingTolerance);
  }

  // Whether the job may use the type. Accelerators are kept for jobs that need them, unless the
  // backlog of other job arrays is long.
  bool is_candidate(const JobSpec& job, const MachineType& type) const {
    if (!job.allows_type(type.name) || type.max_tasks(job) == 0) return false;
    if (job.gpus > 0 || type.gpus <= 0) return true;
    return !job.gang() && market_.backlog >= type.boot * kBacklogBoots;
  }

  // Urgent work prefers the shortest boot time, then the lowest price; other work the lowest price.
  static bool is_better(const leader::Demand& demand, const Offer& offer, const Offer& best) {
    const bool needless_accelerators =
        demand.job->gpus <= 0 && best.type->gpus <= 0 && offer.type->gpus > 0;
    if (needless_accelerators) return false;
    if (demand.urgent && offer.type->boot != best.type->boot) {
      return offer.type->boot < best.type->boot;
    }
    return offer.price < best.price;
  }

  std::optional<Offer> best_offer(const leader::Demand& demand) const {
    std::optional<Offer> best;
    for (const auto& [name, type] : market_.catalog.types()) {
      if (!is_candidate(*demand.job, type)) continue;
      for (const bool spot : {true, false}) {
        if (spot && !demand.job->spot) continue;
        const auto rate = lowest_loss_rate(*demand.job, type, spot);
        if (!rate) continue;
        const Offer offer{&type, spot, price_per_task(demand, type, spot, *rate)};
        if (!best || is_better(demand, offer, *best)) best = offer;
      }
    }
    return best;
  }

  void rent(const leader::Demand& demand, const Offer& offer, std::uint32_t tasks) {
    const JobSpec& job = *demand.job;
    const MachineType& type = *offer.type;
    const std::string zone = job.zone.value_or(type.zones.front());
    FutureMachine empty{&type, zone, offer.spot, capacity_of(type)};
    const std::uint32_t per_machine = FutureMachine(empty).fill(job, tasks);
    // Tasks shorter than the boot time run one after the other on fewer machines: more machines
    // would come up too late for them.
    const double for_all_at_once = std::ceil(static_cast<double>(tasks) / per_machine);
    const double turns = std::max(1.0, type.boot.count() / std::max(demand.remaining.count(), 1.0));
    const auto count = static_cast<std::size_t>(std::max(1.0, std::ceil(for_all_at_once / turns)));
    desire(job, offer, count);
    for (std::size_t i = 0; i < count; ++i) {
      machines_.push_back(empty);
      machines_.back().fill(job, per_machine);
    }
  }

  // Joins equal wishes into one, because the cloud limits the number of requests.
  void desire(const JobSpec& job, const Offer& offer, std::size_t count) {
    const auto is_same = [&](const DesiredMachines& other) {
      return other.type == offer.type->name && other.spot == offer.spot &&
             other.job->zone == job.zone;
    };
    const auto same = std::find_if(desired_.begin(), desired_.end(), is_same);
    if (same != desired_.end()) {
      same->count += count;
    } else {
      desired_.push_back({offer.type->name, count, offer.spot, &job});
    }
  }

  const Market& market_;
  std::vector<FutureMachine> machines_;
  std::vector<DesiredMachines> desired_;
};

}  // namespace

std::vector<DesiredMachines> desired_machines(const std::vector<leader::Demand>& demand,
                                              const PendingMachines& pending,
                                              const Market& market) {
  Packing packing(pending, market);
  for (const auto& job_demand : demand) packing.add(job_demand);
  return std::move(packing).result();
}

}  // namespace asterstair::autoscale
