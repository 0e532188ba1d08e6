#include "autoscale/desired_machines.hpp"

#include <algorithm>
#include <cmath>
#include <optional>

#include "sched/score.hpp"

namespace asterstair::autoscale {
namespace {

// Arrays that need no accelerator are given machines with some once they would queue for longer
// than so many boots of these.
constexpr double kBacklogBoots = 0.75;

sched::Resources whole(const MachineType& type) { return {type.cpus, type.gpus, type.memory_gb}; }

// A machine that is pending or to be rented, with the room that is left on it.
struct FutureMachine {
  const MachineType* type;
  std::string zone;
  bool spot;
  sched::Resources free;

  bool allows(const JobSpec& job) const {
    return job.allows_type(type->name) && (!spot || job.spot) && (!job.zone || *job.zone == zone);
  }
  // Puts up to so many tasks there; returns how many fitted.
  std::uint32_t fill(const JobSpec& job, std::uint32_t most) {
    std::uint32_t n = 0;
    while (n < most && sched::fits(job, free)) {
      free.add(job, -1);
      ++n;
    }
    return n;
  }
};

struct Offer {
  const MachineType* type = nullptr;
  bool spot = false;
  double price = 0;  // of a task's place
};

class Search {
 public:
  Search(const std::map<std::string, PendingMachine>& pending, const Market& market)
      : market_(market) {
    for (const auto& [id, p] : pending) {
      const auto* type = market_.catalog.find(p.pool.type);
      if (type == nullptr) continue;
      machines_.push_back({type, p.pool.zone, p.pool.spot, whole(*type)});
    }
  }

  void add(const leader::Demand& demand) {
    const JobSpec& job = *demand.job;
    std::uint32_t left = demand.tasks;
    for (auto& m : machines_) {
      if (left == 0) return;
      if (m.allows(job)) left -= m.fill(job, left);
    }
    if (left == 0) return;
    if (const auto offer = best_offer(demand)) rent(demand, *offer, left);
  }

  std::vector<DesiredMachines> result() && { return std::move(out_); }

 private:
  // Losses in the safest zone where such machines are to be had; none if they are not.
  std::optional<double> safest_rate(const JobSpec& job, const MachineType& type, bool spot) const {
    std::optional<double> out;
    for (const auto& zone : type.zones) {
      const Pool pool{type.name, zone, spot};
      if ((job.zone && *job.zone != zone) || market_.refused(pool)) continue;
      const double rate = market_.loss_rate(pool);
      out = out ? std::min(*out, rate) : rate;
    }
    return out;
  }

  // All the type's room counts: other tasks will share the machine. Work that is lost is bought
  // again.
  static double price_of_place(const leader::Demand& demand, const MachineType& type, bool spot,
                               double loss_rate) {
    constexpr double kAtLeast = 1e-9;
    const JobSpec& job = *demand.job;
    double places = type.cpus / std::max(job.cpus, kAtLeast);
    if (job.gpus > 0) places = std::min(places, type.gpus / job.gpus);
    if (job.memory_gb > 0) places = std::min(places, type.memory_gb / job.memory_gb);
    const double again = 1 + sched::loss_probability(loss_rate, demand.remaining);
    return (spot ? type.spot_price : type.price) * again / std::floor(places + sched::kRounding);
  }

  // Accelerators are for those that need them, unless the arrays that do not will queue for longer
  // than such a machine takes to come up.
  bool worth_considering(const JobSpec& job, const MachineType& type) const {
    if (!job.allows_type(type.name) || type.fits(job) == 0) return false;
    if (job.gpus > 0 || type.gpus <= 0) return true;
    return !job.gang() && market_.backlog >= type.boot * kBacklogBoots;
  }

  // What is to start at once takes what is up first, then what costs least.
  static bool better(const leader::Demand& demand, const Offer& offer, const Offer& best) {
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
      if (!worth_considering(*demand.job, type)) continue;
      for (const bool spot : {true, false}) {
        if (spot && !demand.job->spot) continue;
        const auto rate = safest_rate(*demand.job, type, spot);
        if (!rate) continue;
        const Offer offer{&type, spot, price_of_place(demand, type, spot, *rate)};
        if (!best || better(demand, offer, *best)) best = offer;
      }
    }
    return best;
  }

  void rent(const leader::Demand& demand, const Offer& offer, std::uint32_t tasks) {
    const JobSpec& job = *demand.job;
    const MachineType& type = *offer.type;
    const std::string zone = job.zone.value_or(type.zones.front());
    FutureMachine empty{&type, zone, offer.spot, whole(type)};
    const std::uint32_t per_machine = FutureMachine(empty).fill(job, tasks);
    // Short tasks share a machine one after the other while others would still be booting.
    const double at_once = std::ceil(static_cast<double>(tasks) / per_machine);
    const double turns = std::max(1.0, type.boot.count() / std::max(demand.remaining.count(), 1.0));
    const auto count = static_cast<std::size_t>(std::max(1.0, std::ceil(at_once / turns)));
    desire(job, offer, count);
    for (std::size_t i = 0; i < count; ++i) {
      machines_.push_back(empty);
      machines_.back().fill(job, per_machine);
    }
  }

  // One request for all that want the same: the cloud counts requests.
  void desire(const JobSpec& job, const Offer& offer, std::size_t count) {
    const auto same = std::find_if(out_.begin(), out_.end(), [&](const DesiredMachines& d) {
      return d.type == offer.type->name && d.spot == offer.spot && d.job->zone == job.zone;
    });
    if (same != out_.end()) {
      same->count += count;
    } else {
      out_.push_back({offer.type->name, count, offer.spot, &job});
    }
  }

  const Market& market_;
  std::vector<FutureMachine> machines_;
  std::vector<DesiredMachines> out_;
};

}  // namespace

std::vector<DesiredMachines> desired_machines(const std::vector<leader::Demand>& demand,
                                              const std::map<std::string, PendingMachine>& pending,
                                              const Market& market) {
  Search search(pending, market);
  for (const auto& d : demand) search.add(d);
  return std::move(search).result();
}

}  // namespace asterstair::autoscale
