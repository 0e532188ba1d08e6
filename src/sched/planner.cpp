#include "sched/planner.hpp"

#include <algorithm>
#include <cmath>
#include <numeric>

#include "sched/constraints.hpp"
#include "sched/order.hpp"
#include "sched/sampling.hpp"
#include "sched/score.hpp"

namespace asterstair::sched {
namespace {

// Room is kept for a job whose tasks found none, once it has waited this long.
constexpr Seconds kReserveAfter{1};
constexpr std::size_t kMostReserved = 8;
// Among machines with equal scores, what using one wastes, beside its free processors.
constexpr double kWasteOfAccelerators = 1e4, kWasteOfOrdinary = 1e3;

// Machines of one type, zone and kind: what a job may use is decided once for all of them.
struct Pool {
  const MachineType* type;
  const std::string* zone;
  bool spot;
  std::vector<std::size_t> machines;
};

std::vector<Pool> pools_of(const Snapshot& s) {
  std::vector<Pool> out;
  for (std::size_t m = 0; m < s.machines.size(); ++m) {
    const auto& machine = s.machines[m];
    auto it = std::find_if(out.begin(), out.end(), [&](const Pool& p) {
      return p.type == machine.type && p.spot == machine.spot && *p.zone == machine.zone;
    });
    if (it == out.end()) {
      out.push_back({machine.type, &machine.zone, machine.spot, {}});
      it = std::prev(out.end());
    }
    it->machines.push_back(m);
  }
  return out;
}

// A machine with room for a job's tasks; the lowest score goes first, then the least waste.
struct Candidate {
  std::size_t machine;
  double score;
  double waste;
};

class Planner {
 public:
  Planner(Snapshot& s, Rng& rng, Plan& out) : s_(s), rng_(rng), out_(out), pools_(pools_of(s)) {
    for (const auto& m : s_.machines) free_slots_ += accelerator_slots(m.free);
  }

  // As many tasks as find room, on samples of machines in place of a full search; further ones
  // while tasks are left.
  void place_array(std::size_t job_index) {
    auto& j = s_.jobs[job_index];
    auto fitting = fitting_for(job_index);
    while (j.waiting > 0 && !fitting.empty()) {
      if (!place_array_on(j, ranked(j, take_sample(fitting, rng_)))) break;
    }
  }

  // All tasks or none.
  void place_gang(std::size_t job_index) {
    auto& j = s_.jobs[job_index];
    if (team_room(s_.teams[j.job->team], *j.job) < j.waiting) return;
    auto fitting = fitting_for(job_index);
    const bool sampled = fitting.size() > kSampleAbove && !j.job->one_zone;
    const auto first = sampled ? take_sample(fitting, rng_) : fitting;
    if (place_gang_on(j, ranked(j, first)) || !sampled) return;
    place_gang_on(j, ranked(j, fitting_for(job_index)));
  }

  // Keeps machines for a job that found no room, so that smaller work behind it does not take
  // every place as it comes free.
  void reserve(std::size_t job_index) {
    const auto& j = s_.jobs[job_index];
    const auto team = team_room(s_.teams[j.job->team], *j.job);
    const std::uint32_t tasks = j.job->gang() ? j.waiting : 1;
    if (j.waited < kReserveAfter || team < tasks) return;
    const auto machines = reservable_for(j);
    if (j.job->gang() && j.job->one_zone) {
      reserve_in_best_zone(job_index, machines, tasks);
    } else if (const auto enough = needed(j, machines, nullptr, tasks)) {
      keep(job_index, *enough);
    }
  }

 private:
  // Accelerators that work of the usual shape could still use.
  double accelerator_slots(const Resources& free) const {
    if (free.gpus <= 0) return 0;
    if (s_.cpus_per_gpu <= 0) return free.gpus;
    const double by_cpus = std::floor(std::max(0.0, free.cpus) / s_.cpus_per_gpu + kRounding);
    return std::min(free.gpus, by_cpus);
  }

  // Tasks that need no accelerator leave processors beside free accelerators alone, once no more
  // than what will be wanted soon are left.
  std::uint32_t array_room(const PlanJob& j, const PlanMachine& machine) const {
    const JobSpec& job = *j.job;
    if (job.gpus > 0 || machine.free.gpus <= 0 || j.overdue) {
      return tasks_that_fit(job, machine.free);
    }
    Resources free = machine.free;
    const double may_go = std::max(0.0, free_slots_ - s_.keep_gpus);
    free.cpus -= std::max(0.0, accelerator_slots(free) - may_go) * s_.cpus_per_gpu;
    return free.cpus <= 0 ? 0 : tasks_that_fit(job, free);
  }

  static bool allowed(const PlanJob& j, const Pool& p) {
    return (j.job->spot || !p.spot) && j.job->allows_type(p.type->name) &&
           zone_room(*j.job, j.in_zone, *p.zone) > 0;
  }

  // Whether the machine is kept for another job, or avoided after failures there.
  static bool held_back(const PlanJob& j, std::size_t job_index, const PlanMachine& machine) {
    if (j.overdue) return false;
    if (machine.reserved_for && *machine.reserved_for != job_index) return true;
    return j.avoid != nullptr && j.avoid->count(machine.ref) != 0;
  }

  std::vector<std::size_t> fitting_for(std::size_t job_index) {
    const auto& j = s_.jobs[job_index];
    std::vector<std::size_t> out;
    for (const auto& p : pools_) {
      if (!allowed(j, p)) continue;
      out_.steps += p.machines.size();
      for (const auto m : p.machines) {
        const auto& machine = s_.machines[m];
        if (fits(*j.job, machine.free) && !held_back(j, job_index, machine)) out.push_back(m);
      }
    }
    return out;
  }

  // Among equal scores: no accelerators taken up by tasks that need none, spot machines for jobs
  // that may use them, then the fullest machine, so that large tasks find room.
  static double waste(const PlanJob& j, const PlanMachine& m) {
    double out = m.free.cpus;
    if (j.job->gpus <= 0 && m.type->gpus > 0) out += kWasteOfAccelerators;
    if (j.job->spot && !m.spot) out += kWasteOfOrdinary;
    return out;
  }

  std::vector<Candidate> ranked(const PlanJob& j, const std::vector<std::size_t>& fitting) const {
    std::vector<double> delay(fitting.size());
    double total = 0;
    for (std::size_t i = 0; i < fitting.size(); ++i) {
      const bool cached = s_.machines[fitting[i]].has_image(j.job->image);
      delay[i] = start_delay(j.job->image_gb, cached).count();
      total += delay[i];
    }
    const auto others = static_cast<double>(fitting.size()) - 1;
    std::vector<Candidate> out;
    out.reserve(fitting.size());
    for (std::size_t i = 0; i < fitting.size(); ++i) {
      const auto& m = s_.machines[fitting[i]];
      const double elsewhere = others > 0 ? (total - delay[i]) / others : 0.0;
      const double score =
          placement_score(Seconds(delay[i]), m.loss_rate, j.remaining, Seconds(elsewhere));
      out.push_back({fitting[i], score, waste(j, m)});
    }
    std::sort(out.begin(), out.end(), [](const Candidate& a, const Candidate& b) {
      if (a.score != b.score) return a.score < b.score;
      if (a.waste != b.waste) return a.waste < b.waste;
      return a.machine < b.machine;
    });
    return out;
  }

  void place(PlanJob& j, std::size_t m, std::uint32_t tasks) {
    auto& machine = s_.machines[m];
    free_slots_ -= accelerator_slots(machine.free);
    machine.free.add(*j.job, -static_cast<double>(tasks));
    free_slots_ += accelerator_slots(machine.free);
    s_.teams[j.job->team].used.add(*j.job, tasks);
    j.in_zone[machine.zone] += tasks;
    j.waiting -= tasks;
    out_.placements.push_back({j.ref, machine.ref, tasks});
  }

  // Whether any task was placed.
  bool place_array_on(PlanJob& j, const std::vector<Candidate>& candidates) {
    bool placed = false;
    for (const auto& c : candidates) {
      if (j.waiting == 0) break;
      const auto& machine = s_.machines[c.machine];
      const auto n =
          std::min({j.waiting, array_room(j, machine), team_room(s_.teams[j.job->team], *j.job),
                    zone_room(*j.job, j.in_zone, machine.zone)});
      if (n == 0) continue;
      place(j, c.machine, n);
      placed = true;
    }
    return placed;
  }

  std::vector<Candidate> in_zone_only(const std::vector<Candidate>& all,
                                      const std::string& zone) const {
    std::vector<Candidate> out;
    std::copy_if(all.begin(), all.end(), std::back_inserter(out),
                 [&](const Candidate& c) { return s_.machines[c.machine].zone == zone; });
    return out;
  }

  // The lists of machines on which a gang is tried, one after the other. Same-zone machines go
  // first when enough of them fit (paper VI-D).
  std::vector<std::vector<Candidate>> gang_attempts(const PlanJob& j,
                                                    const std::vector<Candidate>& all) const {
    std::vector<std::vector<Candidate>> out;
    if (!j.last_zone.empty()) {
      auto local = in_zone_only(all, j.last_zone);
      if (local.size() >= kSameZoneMinimum) out.push_back(std::move(local));
    }
    if (!j.job->one_zone) {
      out.push_back(all);
      return out;
    }
    // By zone, best first candidate first.
    std::vector<std::string> zones;
    for (const auto& c : all) {
      const auto& z = s_.machines[c.machine].zone;
      if (std::find(zones.begin(), zones.end(), z) == zones.end()) zones.push_back(z);
    }
    for (const auto& z : zones) out.push_back(in_zone_only(all, z));
    return out;
  }

  bool place_gang_on(PlanJob& j, const std::vector<Candidate>& all) {
    for (const auto& attempt : gang_attempts(j, all)) {
      if (place_whole_gang(j, attempt)) return true;
    }
    return false;
  }

  bool place_whole_gang(PlanJob& j, const std::vector<Candidate>& candidates) {
    std::uint32_t left = j.waiting;
    auto in_zone = j.in_zone;
    std::vector<std::pair<std::size_t, std::uint32_t>> chosen;
    for (const auto& c : candidates) {
      if (left == 0) break;
      const auto& machine = s_.machines[c.machine];
      const auto n = std::min(
          {left, tasks_that_fit(*j.job, machine.free), zone_room(*j.job, in_zone, machine.zone)});
      if (n == 0) continue;
      in_zone[machine.zone] += n;
      left -= n;
      chosen.emplace_back(c.machine, n);
    }
    if (left > 0) return false;
    for (const auto& [m, n] : chosen) place(j, m, n);
    return true;
  }

  // ---- Reservations ----

  double nearly_free(std::size_t m) const {
    return s_.machines[m].free.cpus + s_.machines[m].freeing.cpus;
  }

  // Machines that could be kept for the job, those with the most room first.
  std::vector<std::size_t> reservable_for(const PlanJob& j) {
    std::vector<std::size_t> out;
    for (const auto& p : pools_) {
      if (!allowed(j, p) || p.type->fits(*j.job) == 0) continue;
      for (const auto m : p.machines) {
        if (!s_.machines[m].reserved_for) out.push_back(m);
      }
    }
    out_.steps += out.size();
    std::sort(out.begin(), out.end(), [&](std::size_t a, std::size_t b) {
      return std::pair(nearly_free(a), b) > std::pair(nearly_free(b), a);
    });
    return out;
  }

  // The machines that so many tasks would need, in the zone or in any; none if they do not suffice.
  std::optional<std::vector<std::size_t>> needed(const PlanJob& j,
                                                 const std::vector<std::size_t>& machines,
                                                 const std::string* zone,
                                                 std::uint32_t tasks) const {
    std::vector<std::size_t> out;
    auto in_zone = j.in_zone;
    for (const auto m : machines) {
      if (tasks == 0) break;
      const auto& machine = s_.machines[m];
      if (zone != nullptr && machine.zone != *zone) continue;
      const auto n =
          std::min({tasks, machine.type->fits(*j.job), zone_room(*j.job, in_zone, machine.zone)});
      if (n == 0) continue;
      in_zone[machine.zone] += n;
      tasks -= n;
      out.push_back(m);
    }
    if (tasks > 0) return std::nullopt;
    return out;
  }

  void keep(std::size_t job_index, const std::vector<std::size_t>& machines) {
    for (const auto m : machines) s_.machines[m].reserved_for = job_index;
  }

  // The zone where most of what the gang needs is free, or about to be.
  void reserve_in_best_zone(std::size_t job_index, const std::vector<std::size_t>& machines,
                            std::uint32_t tasks) {
    const auto& j = s_.jobs[job_index];
    std::set<std::string> zones;
    for (const auto m : machines) zones.insert(s_.machines[m].zone);
    std::vector<std::size_t> best;
    double best_free = -1;
    for (const auto& z : zones) {
      auto there = needed(j, machines, &z, tasks);
      if (!there) continue;
      double free = 0;
      for (const auto m : *there) free += nearly_free(m);
      if (free > best_free) {
        best = std::move(*there);
        best_free = free;
      }
    }
    keep(job_index, best);
  }

  Snapshot& s_;
  Rng& rng_;
  Plan& out_;
  std::vector<Pool> pools_;
  double free_slots_ = 0;
};

}  // namespace

Plan plan(Snapshot& s, Rng& rng) {
  Plan out;
  out.steps = s.machines.size() + s.jobs.size();
  std::vector<std::size_t> order(s.jobs.size());
  std::iota(order.begin(), order.end(), 0);
  std::sort(order.begin(), order.end(),
            [&](std::size_t a, std::size_t b) { return precedes(s.jobs[a], s.jobs[b]); });
  Planner planner(s, rng, out);
  std::size_t reserved = 0;
  for (const auto i : order) {
    auto& j = s.jobs[i];
    if (j.waiting == 0) continue;
    if (j.job->gang()) {
      planner.place_gang(i);
    } else {
      planner.place_array(i);
    }
    if (j.waiting == 0) continue;
    out.unplaced.emplace_back(i, j.waiting);
    if (reserved < kMostReserved) {
      planner.reserve(i);
      ++reserved;
    }
  }
  return out;
}

}  // namespace asterstair::sched
