#include "sched/planner.hpp"

#include <algorithm>
#include <cmath>
#include <numeric>

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

struct Candidate {
  std::size_t machine;
  double score;
  double waste;
};

std::vector<Candidate> candidates(const Snapshot& s, std::size_t job_index, Rng& rng) {
  const auto& j = s.jobs[job_index];
  std::vector<std::size_t> fitting;
  for (std::size_t m = 0; m < s.machines.size(); ++m) {
    const auto& machine = s.machines[m];
    if (!allowed_on(*j.job, machine) || !fits(*j.job, machine.free)) continue;
    if (machine.reserved_for != SIZE_MAX && machine.reserved_for != job_index) continue;
    if (j.avoid != nullptr && j.avoid->count(machine.ref) != 0) continue;
    fitting.push_back(m);
  }
  if (fitting.size() > kSampleAbove) {
    std::vector<std::size_t> sample;
    std::sample(fitting.begin(), fitting.end(), std::back_inserter(sample), kSample, rng);
    fitting = std::move(sample);
  }
  std::vector<double> delay(fitting.size());
  double total = 0;
  for (std::size_t i = 0; i < fitting.size(); ++i) {
    const auto& m = s.machines[fitting[i]];
    const bool cached = m.images != nullptr && m.images->count(j.job->image) != 0;
    delay[i] = start_delay(j.job->image_gb, cached).count();
    total += delay[i];
  }
  std::vector<Candidate> out;
  for (std::size_t i = 0; i < fitting.size(); ++i) {
    const auto& m = s.machines[fitting[i]];
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

void take(Snapshot& s, PlanJob& j, std::size_t m, std::uint32_t tasks) {
  auto& machine = s.machines[m];
  machine.free.add(*j.job, -static_cast<double>(tasks));
  s.teams[j.job->team].used.add(*j.job, tasks);
  j.in_zone[machine.zone] += tasks;
  j.waiting -= tasks;
}

void place_array(Snapshot& s, std::size_t job_index, Plan& out, Rng& rng) {
  auto& j = s.jobs[job_index];
  for (const auto& c : candidates(s, job_index, rng)) {
    if (j.waiting == 0) break;
    auto& machine = s.machines[c.machine];
    const auto n =
        std::min({j.waiting, room(*j.job, machine.free), team_room(s.teams[j.job->team], *j.job),
                  zone_room(j, j.in_zone, machine.zone)});
    if (n == 0) continue;
    take(s, j, c.machine, n);
    out.placements.push_back({j.ref, machine.ref, n});
  }
}

// All tasks or none. Same-zone machines go first when enough of them fit (paper VI-D).
void place_gang(Snapshot& s, std::size_t job_index, Plan& out, Rng& rng) {
  auto& j = s.jobs[job_index];
  if (team_room(s.teams[j.job->team], *j.job) < j.waiting) return;
  const auto all = candidates(s, job_index, rng);
  std::vector<std::vector<Candidate>> tries;
  if (!j.last_zone.empty()) {
    std::vector<Candidate> local;
    for (const auto& c : all) {
      if (s.machines[c.machine].zone == j.last_zone) local.push_back(c);
    }
    if (local.size() >= kSameZoneMinimum) tries.push_back(std::move(local));
  }
  if (j.job->one_zone) {
    // By zone, best first candidate first.
    std::vector<std::string> zones;
    for (const auto& c : all) {
      const auto& z = s.machines[c.machine].zone;
      if (std::find(zones.begin(), zones.end(), z) == zones.end()) zones.push_back(z);
    }
    for (const auto& z : zones) {
      std::vector<Candidate> there;
      for (const auto& c : all) {
        if (s.machines[c.machine].zone == z) there.push_back(c);
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
      const auto& machine = s.machines[c.machine];
      const auto n =
          std::min({left, room(*j.job, machine.free), zone_room(j, in_zone, machine.zone)});
      if (n == 0) continue;
      in_zone[machine.zone] += n;
      left -= n;
      chosen.emplace_back(c.machine, n);
    }
    if (left > 0) continue;
    for (const auto& [m, n] : chosen) {
      take(s, j, m, n);
      out.placements.push_back({j.ref, s.machines[m].ref, n});
    }
    return;
  }
}

// Keeps machines for a job that found no room, so that smaller work behind it does not take every
// place as it comes free.
void reserve(Snapshot& s, std::size_t job_index) {
  const auto& j = s.jobs[job_index];
  if (j.waited < kReserveAfter || team_room(s.teams[j.job->team], *j.job) == 0) return;
  std::size_t best = SIZE_MAX;
  for (std::size_t m = 0; m < s.machines.size(); ++m) {
    const auto& machine = s.machines[m];
    if (machine.reserved_for != SIZE_MAX || !allowed_on(*j.job, machine) ||
        machine.type->fits(*j.job) == 0 || zone_room(j, j.in_zone, machine.zone) == 0) {
      continue;
    }
    if (best == SIZE_MAX || machine.free.cpus > s.machines[best].free.cpus) best = m;
  }
  if (best != SIZE_MAX) s.machines[best].reserved_for = job_index;
}

}  // namespace

bool allowed_on(const JobSpec& job, const PlanMachine& machine) {
  return (job.spot || !machine.spot) && job.allows_type(machine.type->name) &&
         (!job.zone || *job.zone == machine.zone);
}

bool fits(const JobSpec& job, const Use& free) { return room(job, free) > 0; }

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
  const bool a_late = a.slack < 0, b_late = b.slack < 0;
  if (a_late != b_late) return b_late;
  const double a_key = a.slack + kWorkWeight * load(a), b_key = b.slack + kWorkWeight * load(b);
  if (a_key != b_key) return a_key < b_key;
  return a.job->id < b.job->id;
}

Plan plan(Snapshot& s, Rng& rng) {
  Plan out;
  std::vector<std::size_t> order(s.jobs.size());
  std::iota(order.begin(), order.end(), 0);
  std::sort(order.begin(), order.end(),
            [&](std::size_t a, std::size_t b) { return precedes(s.jobs[a], s.jobs[b]); });
  std::size_t reserved = 0;
  for (const auto i : order) {
    auto& j = s.jobs[i];
    if (j.waiting == 0) continue;
    if (j.job->gang()) {
      place_gang(s, i, out, rng);
    } else {
      place_array(s, i, out, rng);
    }
    if (j.waiting == 0) continue;
    out.unplaced.emplace_back(i, j.waiting);
    if (reserved < kMostReserved) {
      reserve(s, i);
      ++reserved;
    }
  }
  return out;
}

std::vector<std::size_t> preempt(Snapshot& s, const Plan& plan,
                                 const std::vector<PlanVictim>& victims) {
  std::vector<std::size_t> out;
  if (victims.empty()) return out;
  std::vector<std::vector<std::size_t>> on(s.machines.size());
  for (std::size_t v = 0; v < victims.size(); ++v) on[victims[v].machine].push_back(v);
  std::vector<bool> stopped(victims.size(), false);

  for (const auto& [i, left] : plan.unplaced) {
    auto& j = s.jobs[i];
    auto& team = s.teams[j.job->team];
    // A guarantee is used up by what the team has running already.
    const auto may_stop = [&](const PlanVictim& v) {
      if (v.job->priority < j.job->priority) return true;
      const auto& other = s.teams[v.job->team];
      const bool has_guarantee = j.guaranteed &&
                                 team.used.cpus + j.job->cpus <= team.guaranteed_cpus + kSlack &&
                                 team.used.gpus + j.job->gpus <= team.guaranteed_gpus + kSlack;
      const bool above =
          (v.job->cpus > 0 && other.used.cpus - v.job->cpus >= other.guaranteed_cpus) ||
          (v.job->gpus > 0 && other.used.gpus - v.job->gpus >= other.guaranteed_gpus);
      return v.job->team != j.job->team && has_guarantee && above;
    };
    std::uint32_t wanted = left;
    while (wanted > 0 && team_room(team, *j.job) > 0) {
      // The machine where the least work is lost to make room for one task.
      std::size_t best = SIZE_MAX;
      double best_cost = 0;
      std::vector<std::size_t> best_set;
      for (std::size_t m = 0; m < s.machines.size(); ++m) {
        const auto& machine = s.machines[m];
        if (!allowed_on(*j.job, machine) || machine.type->fits(*j.job) == 0 ||
            zone_room(j, j.in_zone, machine.zone) == 0 ||
            (j.avoid != nullptr && j.avoid->count(machine.ref) != 0)) {
          continue;
        }
        Use free = machine.free;
        std::vector<std::size_t> set, usable;
        for (const auto v : on[m]) {
          if (!stopped[v] && may_stop(victims[v])) usable.push_back(v);
        }
        std::sort(usable.begin(), usable.end(), [&](std::size_t a, std::size_t b) {
          if (victims[a].job->priority != victims[b].job->priority) {
            return victims[a].job->priority < victims[b].job->priority;
          }
          return victims[a].lost_work < victims[b].lost_work;
        });
        double cost = 0;
        for (const auto v : usable) {
          if (fits(*j.job, free)) break;
          free.add(*victims[v].job);
          cost += victims[v].lost_work * (1 + victims[v].job->cpus + 10 * victims[v].job->gpus);
          set.push_back(v);
        }
        if (!fits(*j.job, free)) continue;
        if (best == SIZE_MAX || cost < best_cost) {
          best = m;
          best_cost = cost;
          best_set = std::move(set);
        }
      }
      if (best == SIZE_MAX) break;
      for (const auto v : best_set) {
        stopped[v] = true;
        s.machines[best].free.add(*victims[v].job);
        s.teams[victims[v].job->team].used.add(*victims[v].job, -1);
        out.push_back(victims[v].ref);
      }
      s.machines[best].free.add(*j.job, -1);
      team.used.add(*j.job);
      --wanted;
    }
  }
  return out;
}

}  // namespace asterstair::sched
