#include "autoscale/desired_machines.hpp"

#include <algorithm>
#include <cmath>
#include <optional>

#include "sched/score.hpp"

namespace asterstair::autoscale {
namespace {

// Job arrays without accelerators may use accelerator machines once their backlog reaches this many
// boot times of such a machine.
constexpr double kMinBacklogBoots = 0.75;

sched::Resources capacity_of(const MachineType& type) {
  return {type.cpus, type.gpus, type.memory_gb};
}

// A machine that is pending or to be rented.
struct PlannedMachine {
  const MachineType* type;
  std::string zone;
  bool spot;
  sched::Resources free;  // resources that are not reserved for tasks

  bool allows(const JobSpec& job) const {
    return job.allows_type(type->name) && (!spot || job.spot) && (!job.zone || *job.zone == zone);
  }
  // Reserves resources for up to `limit` tasks. Returns the number of tasks that fit.
  std::uint32_t fill(const JobSpec& job, std::uint32_t limit) {
    std::uint32_t tasks = 0;
    while (tasks < limit && sched::fits(job, free)) {
      free.add(job, -1);
      ++tasks;
    }
    return tasks;
  }
};

// A machine type at its spot price or its on-demand price.
struct Offer {
  const MachineType* type = nullptr;
  bool spot = false;
  double price = 0;  // of the resources for one task
};

// Packs the demand onto the pending machines, and onto new machines once these are full.
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
    std::uint32_t remaining_tasks = demand.tasks;
    for (auto& machine : machines_) {
      if (remaining_tasks == 0) return;
      if (machine.allows(job)) remaining_tasks -= machine.fill(job, remaining_tasks);
    }
    if (remaining_tasks == 0) return;
    if (const auto offer = best_offer(demand)) add_new_machines(demand, *offer, remaining_tasks);
  }

  std::vector<DesiredMachines> result() && { return std::move(desired_); }

 private:
  // Returns the lowest loss rate of the zones that the job allows and that have not refused such
  // machines lately; nothing if there is no such zone.
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

  // Returns the price of the resources for one task: an equal share of the machine's price, since
  // other tasks will use the rest of the machine. Work that is lost with a machine is paid for
  // again.
  static double price_per_task(const leader::Demand& demand, const MachineType& type, bool spot,
                               double loss_rate) {
    constexpr double kMinCpus = 1e-9;  // avoids a division by zero
    const JobSpec& job = *demand.job;
    double tasks = type.cpus / std::max(job.cpus, kMinCpus);
    if (job.gpus > 0) tasks = std::min(tasks, type.gpus / job.gpus);
    if (job.memory_gb > 0) tasks = std::min(tasks, type.memory_gb / job.memory_gb);
    const double expected_runs = 1 + sched::loss_probability(loss_rate, demand.remaining);
    const double price = spot ? type.spot_price : type.price;
    return price * expected_runs / std::floor(tasks + kRoundingTolerance);
  }

  // Whether the job may use the type. Accelerators are reserved for jobs that need them, unless the
  // backlog of job arrays without accelerators is long.
  bool is_candidate(const JobSpec& job, const MachineType& type) const {
    if (!job.allows_type(type.name) || type.max_tasks(job) == 0) return false;
    if (job.gpus > 0 || type.gpus <= 0) return true;
    return !job.gang() && market_.backlog >= type.boot * kMinBacklogBoots;
  }

  // Urgent demand prefers the shortest boot time, then the lowest price. Other demand prefers the
  // lowest price.
  static bool is_better(const leader::Demand& demand, const Offer& offer, const Offer& best) {
    const bool wastes_accelerators =
        demand.job->gpus <= 0 && best.type->gpus <= 0 && offer.type->gpus > 0;
    if (wastes_accelerators) return false;
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

  void add_new_machines(const leader::Demand& demand, const Offer& offer, std::uint32_t tasks) {
    const JobSpec& job = *demand.job;
    const MachineType& type = *offer.type;
    const std::string zone = job.zone.value_or(type.zones.front());
    PlannedMachine empty{&type, zone, offer.spot, capacity_of(type)};
    const std::uint32_t per_machine = PlannedMachine(empty).fill(job, tasks);
    // Tasks that are shorter than the boot time run in several waves on fewer machines, for about
    // one boot time in total: further machines would boot too late for them.
    const double machines_for_one_wave = std::ceil(static_cast<double>(tasks) / per_machine);
    const double wave_count =
        std::max(1.0, type.boot.count() / std::max(demand.remaining.count(), 1.0));
    const auto count =
        static_cast<std::size_t>(std::max(1.0, std::ceil(machines_for_one_wave / wave_count)));
    add_desired(job, offer, count);
    for (std::size_t i = 0; i < count; ++i) {
      machines_.push_back(empty);
      machines_.back().fill(job, per_machine);
    }
  }

  // Merges machines of the same type, price class and zone rule into one entry, because the cloud
  // limits the number of requests.
  void add_desired(const JobSpec& job, const Offer& offer, std::size_t count) {
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
  std::vector<PlannedMachine> machines_;
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
