#include "autoscale/desired_machines.hpp"

#include <algorithm>
#include <cmath>
#include <functional>
#include <iterator>
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

  bool allows(const leader::Demand& demand) const {
    const JobSpec& job = *demand.job;
    return job.allows_type(type->name) && (!spot || job.spot) && demand.allows_zone(zone);
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

// Returns the zones of the type in which the job's zone constraints allow one more task.
std::vector<std::string> allowed_zones(const leader::Demand& demand, const MachineType& type) {
  std::vector<std::string> zones;
  std::copy_if(type.zones.begin(), type.zones.end(), std::back_inserter(zones),
               [&](const std::string& zone) { return demand.allows_zone(zone); });
  return zones;
}

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
      if (machine.allows(demand)) remaining_tasks -= machine.fill(job, remaining_tasks);
    }
    if (remaining_tasks == 0) return;
    if (const auto offer = best_offer(demand)) add_new_machines(demand, *offer, remaining_tasks);
  }

  std::vector<DesiredMachines> result() && { return std::move(desired_); }

 private:
  // Returns the lowest loss rate of the zones that the job allows and that have not refused such
  // machines lately; nothing if there is no such zone.
  std::optional<double> lowest_loss_rate(const leader::Demand& demand, const MachineType& type,
                                         bool spot) const {
    std::optional<double> lowest;
    for (const auto& zone : allowed_zones(demand, type)) {
      const Pool pool{type.name, zone, spot};
      if (market_.is_refused(pool)) continue;
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
    const double expected_runs = 1 + sched::loss_probability(loss_rate, demand.remaining);
    const double price = spot ? type.spot_price : type.price;
    return price * expected_runs / sched::tasks_that_fit(*demand.job, capacity_of(type));
  }

  // Whether a type without accelerators can ever run the job, whether the cloud has any now or not.
  bool runs_without_accelerators(const leader::Demand& demand) const {
    const auto& types = market_.catalog.types();
    return std::any_of(types.begin(), types.end(), [&](const auto& entry) {
      const MachineType& type = entry.second;
      return type.gpus <= 0 && type.can_hold_task(*demand.job) &&
             !allowed_zones(demand, type).empty();
    });
  }

  // Whether accelerators may go unused on a machine of the type. They are kept for jobs that need
  // them, unless no other type can ever run the job, it has waited for long, or the backlog of job
  // arrays without accelerators is long.
  bool may_waste_accelerators(const leader::Demand& demand, const MachineType& type) const {
    if (demand.overdue || !runs_without_accelerators(demand)) return true;
    return !demand.job->gang() && market_.backlog >= type.boot * kMinBacklogBoots;
  }

  // Urgent demand prefers the shortest boot time, then the lowest price. Other demand prefers the
  // lowest price.
  static bool is_better(const leader::Demand& demand, const Offer& offer, const Offer& best) {
    if (demand.urgent && offer.type->boot != best.type->boot) {
      return offer.type->boot < best.type->boot;
    }
    return offer.price < best.price;
  }

  // Machines whose accelerators would go unused are considered only if the cloud has no others.
  std::optional<Offer> best_offer(const leader::Demand& demand) const {
    const auto wastes_accelerators = [&](const MachineType& type) {
      return demand.job->gpus <= 0 && type.gpus > 0;
    };
    const auto best =
        best_offer_of(demand, [&](const MachineType& type) { return !wastes_accelerators(type); });
    if (best) return best;
    return best_offer_of(demand, [&](const MachineType& type) {
      return wastes_accelerators(type) && may_waste_accelerators(demand, type);
    });
  }

  std::optional<Offer> best_offer_of(
      const leader::Demand& demand,
      const std::function<bool(const MachineType&)>& is_candidate) const {
    std::optional<Offer> best;
    for (const auto& [name, type] : market_.catalog.types()) {
      if (!type.can_hold_task(*demand.job) || !is_candidate(type)) continue;
      for (const bool spot : {true, false}) {
        if (spot && !demand.job->spot) continue;
        const auto rate = lowest_loss_rate(demand, type, spot);
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
    const auto zones = allowed_zones(demand, type);
    PlannedMachine empty{&type, zones.front(), offer.spot, capacity_of(type)};
    const std::uint32_t per_machine = PlannedMachine(empty).fill(job, tasks);
    // Tasks that are shorter than the boot time run in several waves on fewer machines, for about
    // one boot time in total: further machines would boot too late for them.
    const double machines_for_one_wave = std::ceil(static_cast<double>(tasks) / per_machine);
    const double wave_count =
        std::max(1.0, type.boot.count() / std::max(demand.remaining.count(), 1.0));
    const auto count =
        static_cast<std::size_t>(std::max(1.0, std::ceil(machines_for_one_wave / wave_count)));
    add_desired(offer, zones, count);
    for (std::size_t i = 0; i < count; ++i) {
      machines_.push_back(empty);
      machines_.back().fill(job, per_machine);
    }
  }

  // Merges machines of the same type, price class and zones into one entry, because the cloud
  // limits the number of requests.
  void add_desired(const Offer& offer, const std::vector<std::string>& zones, std::size_t count) {
    const auto is_same = [&](const DesiredMachines& other) {
      return other.type == offer.type->name && other.spot == offer.spot && other.zones == zones;
    };
    const auto same = std::find_if(desired_.begin(), desired_.end(), is_same);
    if (same != desired_.end()) {
      same->count += count;
    } else {
      desired_.push_back({offer.type->name, count, offer.spot, zones});
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
