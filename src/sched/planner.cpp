#include "sched/planner.hpp"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <optional>
#include <queue>
#include <tuple>

#include "sched/score.hpp"

namespace asterstair::sched {
namespace {

constexpr double kSlack = 1e-6;
// Above this many fitting machines a job is placed on a random sample of them.
constexpr std::size_t kSampleAbove = 96, kSample = 64;
// Room is kept for a job whose tasks found none, once it has waited this long.
constexpr Seconds kReserveAfter{1};
constexpr std::size_t kMostReserved = 8;
// Seconds of slack that a core-second of work left weighs.
constexpr double kWorkWeight = 0.01;
constexpr double kCpusPerGpu = 10;

// Work on the resource that is short for the job: accelerators if it needs them.
double load(const PlanJob& j) {
  return j.work.count() * (j.job->gpus > 0 ? j.job->gpus * kCpusPerGpu : j.job->cpus);
}

std::uint32_t room(const JobSpec& job, const Use& free) {
  double n = 1e9;
  if (job.cpus > 0) n = std::min(n, std::floor(free.cpus / job.cpus + kSlack));
  if (job.gpus > 0) n = std::min(n, std::floor(free.gpus / job.gpus + kSlack));
  if (job.memory_gb > 0) n = std::min(n, std::floor(free.memory_gb / job.memory_gb + kSlack));
  return static_cast<std::uint32_t>(std::max(0.0, n));
}

std::uint32_t team_room(const TeamState& team, const JobSpec& job) {
  double n = 1e9;
  if (team.max_cpus > 0 && job.cpus > 0) {
    n = std::min(n, std::floor((team.max_cpus - team.used.cpus) / job.cpus + kSlack));
  }
  if (team.max_gpus > 0 && job.gpus > 0) {
    n = std::min(n, std::floor((team.max_gpus - team.used.gpus) / job.gpus + kSlack));
  }
  return static_cast<std::uint32_t>(std::max(0.0, n));
}

// How many more tasks of the job its zone rules allow there.
std::uint32_t zone_room(const PlanJob& j, const std::map<std::string, std::uint32_t>& in_zone,
                        const std::string& zone) {
  const auto& job = *j.job;
  if (job.zone && *job.zone != zone) return 0;
  if (job.one_zone) {
    for (const auto& [z, n] : in_zone) {
      if (n > 0 && z != zone) return 0;
    }
  }
  if (!job.spread) return UINT32_MAX;
  const std::uint32_t most = (job.tasks + 1) / 2;
  const auto it = in_zone.find(zone);
  const std::uint32_t there = it == in_zone.end() ? 0 : it->second;
  return there >= most ? 0 : most - there;
}

bool has_room(const JobSpec& job, const Use& free) {
  return free.cpus + kSlack >= job.cpus && free.gpus + kSlack >= job.gpus &&
         free.memory_gb + kSlack >= job.memory_gb;
}

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

struct Candidate {
  std::size_t machine;
  double score;
  double waste;
};

class Planner {
 public:
  Planner(Snapshot& s, Rng& rng, Plan& out) : s_(s), rng_(rng), out_(out), pools_(pools_of(s)) {
    for (const auto& m : s_.machines) free_slots_ += slots(m.free);
  }

  void place_array(std::size_t job_index) {
    auto& j = s_.jobs[job_index];
    auto fitting = fitting_for(job_index);
    // Samples in place of a full search; further ones while tasks are left.
    while (j.waiting > 0 && !fitting.empty()) {
      bool took = false;
      for (const auto& c : ranked(j, sample(fitting))) {
        if (j.waiting == 0) break;
        auto& machine = s_.machines[c.machine];
        const auto n =
            std::min({j.waiting, array_room(j, machine), team_room(s_.teams[j.job->team], *j.job),
                      zone_room(j, j.in_zone, machine.zone)});
        if (n == 0) continue;
        take(j, c.machine, n);
        out_.placements.push_back({j.ref, machine.ref, n});
        took = true;
      }
      if (!took) break;
    }
  }

  // All tasks or none.
  void place_gang(std::size_t job_index) {
    auto& j = s_.jobs[job_index];
    if (team_room(s_.teams[j.job->team], *j.job) < j.waiting) return;
    auto fitting = fitting_for(job_index);
    const bool sampled = fitting.size() > kSampleAbove && !j.job->one_zone;
    if (place_gang_on(j, ranked(j, sampled ? sample(fitting) : fitting)) || !sampled) return;
    place_gang_on(j, ranked(j, fitting_for(job_index)));
  }

  // Keeps machines for a job that found no room, so that smaller work behind it does not take
  // every place as it comes free.
  void reserve(std::size_t job_index) {
    const auto& j = s_.jobs[job_index];
    const auto team = team_room(s_.teams[j.job->team], *j.job);
    if (j.waited < kReserveAfter || team == 0) return;
    const std::uint32_t tasks = j.job->gang() ? j.waiting : 1;
    if (team < tasks) return;
    std::vector<std::size_t> usable;
    for (const auto& p : pools_) {
      if (!allowed(j, p) || p.type->fits(*j.job) == 0) continue;
      for (const auto m : p.machines) {
        if (s_.machines[m].reserved_for == SIZE_MAX) usable.push_back(m);
      }
    }
    out_.steps += usable.size();
    const auto near = [&](std::size_t m) {
      return s_.machines[m].free.cpus + s_.machines[m].freeing.cpus;
    };
    std::sort(usable.begin(), usable.end(), [&](std::size_t a, std::size_t b) {
      return std::pair(near(a), b) > std::pair(near(b), a);
    });
    const auto keep = [&](const std::string* zone, bool really) {
      std::uint32_t left = tasks;
      double free = 0;
      auto in_zone = j.in_zone;
      for (const auto m : usable) {
        if (left == 0) break;
        auto& machine = s_.machines[m];
        if (zone != nullptr && machine.zone != *zone) continue;
        const auto n =
            std::min({left, machine.type->fits(*j.job), zone_room(j, in_zone, machine.zone)});
        if (n == 0) continue;
        in_zone[machine.zone] += n;
        left -= n;
        free += near(m);
        if (really) machine.reserved_for = job_index;
      }
      return left == 0 ? free : -1;
    };
    if (!j.job->gang() || !j.job->one_zone) {
      if (keep(nullptr, false) >= 0) keep(nullptr, true);
      return;
    }
    // The zone where most of what the gang needs is free, or about to be.
    const std::string* best = nullptr;
    double best_free = -1;
    std::set<std::string> zones;
    for (const auto m : usable) zones.insert(s_.machines[m].zone);
    for (const auto& z : zones) {
      const double free = keep(&z, false);
      if (free > best_free) {
        best = &z;
        best_free = free;
      }
    }
    if (best != nullptr) keep(best, true);
  }

 private:
  // Accelerators that work of the usual shape could still use.
  double slots(const Use& free) const {
    if (free.gpus <= 0) return 0;
    if (s_.cpus_per_gpu <= 0) return free.gpus;
    return std::min(free.gpus, std::floor(std::max(0.0, free.cpus) / s_.cpus_per_gpu + kSlack));
  }

  // Tasks that need no accelerator leave processors beside free accelerators alone, once no more
  // than what will be wanted soon are left.
  std::uint32_t array_room(const PlanJob& j, const PlanMachine& machine) const {
    const JobSpec& job = *j.job;
    if (job.gpus > 0 || machine.free.gpus <= 0 || j.overdue) return room(job, machine.free);
    Use free = machine.free;
    const double may_go = std::max(0.0, free_slots_ - s_.keep_gpus);
    free.cpus -= std::max(0.0, slots(free) - may_go) * s_.cpus_per_gpu;
    return free.cpus <= 0 ? 0 : room(job, free);
  }

  static bool allowed(const PlanJob& j, const Pool& p) {
    return (j.job->spot || !p.spot) && j.job->allows_type(p.type->name) &&
           zone_room(j, j.in_zone, *p.zone) > 0;
  }

  std::vector<std::size_t> fitting_for(std::size_t job_index) {
    const auto& j = s_.jobs[job_index];
    std::vector<std::size_t> out;
    for (const auto& p : pools_) {
      if (!allowed(j, p)) continue;
      out_.steps += p.machines.size();
      for (const auto m : p.machines) {
        const auto& machine = s_.machines[m];
        if (!has_room(*j.job, machine.free)) continue;
        if (!j.overdue) {
          if (machine.reserved_for != SIZE_MAX && machine.reserved_for != job_index) continue;
          if (j.avoid != nullptr && j.avoid->count(machine.ref) != 0) continue;
        }
        out.push_back(m);
      }
    }
    return out;
  }

  // Takes up to kSample machines at random out of the list; all if they are few.
  std::vector<std::size_t> sample(std::vector<std::size_t>& from) {
    std::vector<std::size_t> out;
    if (from.size() <= kSampleAbove) {
      out.swap(from);
      return out;
    }
    std::vector<std::size_t> rest;
    rest.reserve(from.size() - kSample);
    std::size_t wanted = kSample;
    for (std::size_t i = 0; i < from.size(); ++i) {
      const std::size_t left = from.size() - i;
      if (std::uniform_int_distribution<std::size_t>(0, left - 1)(rng_) < wanted) {
        out.push_back(from[i]);
        --wanted;
      } else {
        rest.push_back(from[i]);
      }
    }
    from.swap(rest);
    return out;
  }

  std::vector<Candidate> ranked(const PlanJob& j, const std::vector<std::size_t>& fitting) {
    std::vector<double> delay(fitting.size());
    double total = 0;
    for (std::size_t i = 0; i < fitting.size(); ++i) {
      const auto& m = s_.machines[fitting[i]];
      const bool cached = m.images != nullptr && m.images->count(j.job->image) != 0;
      delay[i] = start_delay(j.job->image_gb, cached).count();
      total += delay[i];
    }
    std::vector<Candidate> out;
    out.reserve(fitting.size());
    for (std::size_t i = 0; i < fitting.size(); ++i) {
      const auto& m = s_.machines[fitting[i]];
      const double elsewhere =
          fitting.size() > 1 ? (total - delay[i]) / static_cast<double>(fitting.size() - 1) : 0.0;
      const double score =
          placement_score(Seconds(delay[i]), m.loss_rate, j.remaining, Seconds(elsewhere));
      // Among equals: no accelerators taken up by tasks that need none, spot machines kept for
      // jobs that may use them, then the fullest machine, so that large tasks find room.
      double waste = m.free.cpus;
      if (j.job->gpus <= 0 && m.type->gpus > 0) waste += 1e4;
      if (j.job->spot && !m.spot) waste += 1e3;
      out.push_back({fitting[i], score, waste});
    }
    std::sort(out.begin(), out.end(), [](const Candidate& a, const Candidate& b) {
      if (a.score != b.score) return a.score < b.score;
      if (a.waste != b.waste) return a.waste < b.waste;
      return a.machine < b.machine;
    });
    return out;
  }

  void take(PlanJob& j, std::size_t m, std::uint32_t tasks) {
    auto& machine = s_.machines[m];
    free_slots_ -= slots(machine.free);
    machine.free.add(*j.job, -static_cast<double>(tasks));
    free_slots_ += slots(machine.free);
    s_.teams[j.job->team].used.add(*j.job, tasks);
    j.in_zone[machine.zone] += tasks;
    j.waiting -= tasks;
  }

  // Same-zone machines go first when enough of them fit (paper VI-D).
  bool place_gang_on(PlanJob& j, const std::vector<Candidate>& all) {
    std::vector<std::vector<Candidate>> tries;
    if (!j.last_zone.empty()) {
      std::vector<Candidate> local;
      for (const auto& c : all) {
        if (s_.machines[c.machine].zone == j.last_zone) local.push_back(c);
      }
      if (local.size() >= kSameZoneMinimum) tries.push_back(std::move(local));
    }
    if (j.job->one_zone) {
      // By zone, best first candidate first.
      std::vector<std::string> zones;
      for (const auto& c : all) {
        const auto& z = s_.machines[c.machine].zone;
        if (std::find(zones.begin(), zones.end(), z) == zones.end()) zones.push_back(z);
      }
      for (const auto& z : zones) {
        std::vector<Candidate> there;
        for (const auto& c : all) {
          if (s_.machines[c.machine].zone == z) there.push_back(c);
        }
        tries.push_back(std::move(there));
      }
    } else {
      tries.push_back(all);
    }
    for (const auto& list : tries) {
      std::uint32_t left = j.waiting;
      auto in_zone = j.in_zone;
      std::vector<std::pair<std::size_t, std::uint32_t>> chosen;
      for (const auto& c : list) {
        if (left == 0) break;
        const auto& machine = s_.machines[c.machine];
        const auto n =
            std::min({left, room(*j.job, machine.free), zone_room(j, in_zone, machine.zone)});
        if (n == 0) continue;
        in_zone[machine.zone] += n;
        left -= n;
        chosen.emplace_back(c.machine, n);
      }
      if (left > 0) continue;
      for (const auto& [m, n] : chosen) {
        take(j, m, n);
        out_.placements.push_back({j.ref, s_.machines[m].ref, n});
      }
      return true;
    }
    return false;
  }

  Snapshot& s_;
  Rng& rng_;
  Plan& out_;
  std::vector<Pool> pools_;
  double free_slots_ = 0;
};

}  // namespace

bool allowed_on(const JobSpec& job, const PlanMachine& machine) {
  return (job.spot || !machine.spot) && job.allows_type(machine.type->name) &&
         (!job.zone || *job.zone == machine.zone);
}

bool fits(const JobSpec& job, const Use& free) { return has_room(job, free); }

bool Guarantees::next(const JobSpec& job, std::uint32_t unfinished) {
  const auto team = teams_.find(job.team);
  if (team == teams_.end()) return false;
  const auto& t = team->second;
  auto& earlier = earlier_[job.team];
  earlier.add(job, unfinished);
  if (t.guaranteed_cpus <= 0 && t.guaranteed_gpus <= 0) return false;
  return earlier.cpus <= t.guaranteed_cpus + kSlack && earlier.gpus <= t.guaranteed_gpus + kSlack;
}

bool precedes(const PlanJob& a, const PlanJob& b) {
  if (a.guaranteed != b.guaranteed) return a.guaranteed;
  if (a.job->priority != b.job->priority) return a.job->priority > b.job->priority;
  if (a.starving != b.starving) return a.starving;
  if (a.starving && a.waited != b.waited) return a.waited > b.waited;
  const bool a_late = a.slack < 0, b_late = b.slack < 0;
  if (a_late != b_late) return b_late;
  const double a_key = a.slack + kWorkWeight * load(a), b_key = b.slack + kWorkWeight * load(b);
  if (a_key != b_key) return a_key < b_key;
  return a.job->id < b.job->id;
}

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

namespace {

// What a second of a task's time counts for.
double weight_of(const JobSpec& job) { return 1 + job.cpus + kCpusPerGpu * job.gpus; }

// Where the next task of a job could go, and what stopping others for it costs.
struct Offer {
  std::size_t machine = 0;
  double cost = 0;
  std::vector<std::size_t> stop;
  bool operator>(const Offer& o) const {
    return std::pair(cost, machine) > std::pair(o.cost, o.machine);
  }
};

// Makes room on one machine, task by task: what is free first, then the least work lost.
struct MakingRoom {
  std::size_t machine = 0;
  Use free;
  std::vector<std::size_t> victims;  // in the order in which they would be stopped
  std::size_t next = 0;
  double delay_cost = 0;  // of each task

  std::optional<Offer> offer(const JobSpec& job, const std::vector<PlanVictim>& all) {
    Offer out{machine, delay_cost, {}};
    while (!has_room(job, free)) {
      if (next == victims.size()) return std::nullopt;
      const auto& v = all[victims[next]];
      free.add(*v.job);
      out.cost += v.lost_work * weight_of(*v.job);
      out.stop.push_back(victims[next++]);
    }
    free.add(job, -1);
    return out;
  }
};

// A random sample, and with it every machine on which enough is being freed already: without these
// each round would stop others, elsewhere, for the same waiting tasks.
std::vector<std::size_t> preemption_sample(const Snapshot& s, const JobSpec& job,
                                           const std::vector<std::size_t>& candidates, Rng& rng) {
  std::vector<std::size_t> chosen, rest;
  for (const auto m : candidates) {
    const auto& machine = s.machines[m];
    const bool being_freed = machine.freeing.cpus > 0 || machine.freeing.gpus > 0;
    (being_freed && has_room(job, machine.free) ? chosen : rest).push_back(m);
  }
  std::sample(rest.begin(), rest.end(), std::back_inserter(chosen), kSample, rng);
  return chosen;
}

}  // namespace

std::vector<std::size_t> preempt(Snapshot& s, Plan& plan, const std::vector<PlanVictim>& victims,
                                 Rng& rng) {
  std::vector<std::size_t> out;
  if (victims.empty()) return out;
  std::vector<std::vector<std::size_t>> on(s.machines.size());
  for (std::size_t v = 0; v < victims.size(); ++v) on[victims[v].machine].push_back(v);
  std::vector<bool> stopped(victims.size(), false);
  for (auto& m : s.machines) m.free.add(m.freeing);
  std::size_t looked_at = 0;

  for (const auto& [i, left] : plan.unplaced) {
    const auto& j = s.jobs[i];
    auto& team = s.teams[j.job->team];
    const auto most = team_room(team, *j.job);
    if (most == 0 || (j.job->gang() && most < left)) continue;
    const auto may_stop = [&](const PlanVictim& v) {
      if (v.job->priority < j.job->priority) return true;
      if (!j.guaranteed || v.job->team == j.job->team) return false;
      // A guarantee is used up by what the team has running already.
      const auto& other = s.teams[v.job->team];
      return team.used.cpus + j.job->cpus <= team.guaranteed_cpus + kSlack &&
             team.used.gpus + j.job->gpus <= team.guaranteed_gpus + kSlack &&
             ((v.job->cpus > 0 && other.used.cpus - v.job->cpus >= other.guaranteed_cpus) ||
              (v.job->gpus > 0 && other.used.gpus - v.job->gpus >= other.guaranteed_gpus));
    };
    std::vector<std::size_t> candidates;
    for (std::size_t m = 0; m < s.machines.size(); ++m) {
      const auto& machine = s.machines[m];
      if (machine.reserved_for != SIZE_MAX && machine.reserved_for != i) continue;
      if (!allowed_on(*j.job, machine) || machine.type->fits(*j.job) == 0 ||
          zone_room(j, j.in_zone, machine.zone) == 0 ||
          (j.avoid != nullptr && j.avoid->count(machine.ref) != 0)) {
        continue;
      }
      candidates.push_back(m);
    }
    plan.steps += s.machines.size();
    if (candidates.size() > kSampleAbove && !j.job->one_zone) {
      candidates = preemption_sample(s, *j.job, candidates, rng);
    }
    std::vector<MakingRoom> making;
    for (const auto m : candidates) {
      // What is fetched first delays the start: counted like work lost.
      const auto* images = s.machines[m].images;
      const bool cached = images != nullptr && images->count(j.job->image) != 0;
      const double delay = start_delay(j.job->image_gb, cached).count();
      MakingRoom r{m, s.machines[m].free, {}, 0, delay * weight_of(*j.job)};
      for (const auto v : on[m]) {
        if (!stopped[v] && may_stop(victims[v])) r.victims.push_back(v);
      }
      if (r.victims.empty() && !has_room(*j.job, r.free)) continue;
      looked_at += r.victims.size();
      std::sort(r.victims.begin(), r.victims.end(), [&](std::size_t a, std::size_t b) {
        const auto &x = victims[a], &y = victims[b];
        return std::tuple(x.job->priority, x.lost_work, a) <
               std::tuple(y.job->priority, y.lost_work, b);
      });
      making.push_back(std::move(r));
    }
    // The cheapest offers for `wanted` tasks on machines of the zone, or of any.
    struct Choice {
      std::vector<Offer> offers;
      double cost = 0;
    };
    const auto choose = [&](const std::string* zone, std::uint32_t wanted) {
      Choice choice;
      std::priority_queue<Offer, std::vector<Offer>, std::greater<>> queue;
      auto local = making;
      std::vector<std::size_t> at(s.machines.size(), SIZE_MAX);
      for (std::size_t r = 0; r < local.size(); ++r) {
        if (zone != nullptr && s.machines[local[r].machine].zone != *zone) continue;
        at[local[r].machine] = r;
        if (auto o = local[r].offer(*j.job, victims)) queue.push(std::move(*o));
      }
      auto in_zone = j.in_zone;
      while (wanted > 0 && !queue.empty()) {
        Offer o = queue.top();
        queue.pop();
        const auto& z = s.machines[o.machine].zone;
        if (zone_room(j, in_zone, z) == 0) continue;
        ++in_zone[z];
        --wanted;
        if (auto more = local[at[o.machine]].offer(*j.job, victims)) queue.push(std::move(*more));
        choice.cost += o.cost;
        choice.offers.push_back(std::move(o));
      }
      return choice;
    };
    const std::uint32_t wanted = std::min(left, most);
    Choice best;
    if (j.job->one_zone && j.in_zone.empty()) {
      std::set<std::string> zones;
      for (const auto& r : making) zones.insert(s.machines[r.machine].zone);
      for (const auto& z : zones) {
        auto choice = choose(&z, wanted);
        if (choice.offers.size() > best.offers.size() ||
            (choice.offers.size() == best.offers.size() && choice.cost < best.cost)) {
          best = std::move(choice);
        }
      }
    } else {
      best = choose(nullptr, wanted);
    }
    if (j.job->gang() && best.offers.size() < left) continue;
    for (const auto& o : best.offers) {
      auto& machine = s.machines[o.machine];
      for (const auto v : o.stop) {
        // Judged anew: what was stopped before counts.
        if (!may_stop(victims[v])) continue;
        stopped[v] = true;
        machine.free.add(*victims[v].job);
        s.teams[victims[v].job->team].used.add(*victims[v].job, -1);
        out.push_back(victims[v].ref);
      }
      machine.free.add(*j.job, -1);
      team.used.add(*j.job);
    }
  }
  plan.steps += looked_at / 4;
  return out;
}

}  // namespace asterstair::sched
