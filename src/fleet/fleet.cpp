// The term as a whole: its loop, and what others ask of it.

#include "fleet/fleet.hpp"

#include <algorithm>

namespace asterstair::fleet {
namespace {

constexpr auto kTick = 250ms;
constexpr auto kFlushEvery = 3s;  // of a job's progress

}  // namespace

Fleet::Fleet(Runtime& runtime, store::Store& store, const leader::Election& election,
             const Settings& settings, const cloud::Catalog& catalog)
    : runtime_(runtime),
      store_(store),
      election_(election),
      settings_(settings),
      catalog_(catalog),
      token_(election.token()),
      elected_at_(runtime.now()) {}

void Fleet::start() {
  load();
  tick();
}

void Fleet::tick() {
  if (!alive()) return;
  runtime_.after(kTick, [self = weak_from_this()] {
    if (const auto f = self.lock()) f->tick();
  });
  if (!loaded_) return;
  expire_leases();
  while (!arrivals_.empty() && runtime_.now() - arrivals_.front().at > kArrivalWindow) {
    arrivals_.pop_front();
  }
  check_settled();
  check_gangs();
  check_notices();
  release_plans();
  if (!election_.entitled()) return;
  write_roster();
  begin_jobs();
  const auto now = runtime_.now();
  for (auto& [id, job] : jobs_.all()) {
    if (job.all_done()) {
      finish(job);
    } else if (!job.dirty.empty() && now - job.last_flush > kFlushEvery) {
      flush(job);
    }
  }
  plan();
}

bool Fleet::usable(const Machine& m) const {
  const auto now = runtime_.now();
  return m.reported && !m.silent && !m.draining && !m.faulty && !m.goes_at &&
         now >= m.no_room_until && now >= m.paused_until &&
         now - m.last_report < settings_.report_every * 5 / 2 + 1s;
}

double Fleet::cache_gb(const std::string& type) const {
  const auto* t = catalog_.find(type);
  return t == nullptr ? 0 : t->cache_gb;
}

Seconds Fleet::age_of(const Job& job) const {
  return std::max(Seconds(0), Seconds(runtime_.wall() - job.accepted));
}

Seconds Fleet::remaining_of(const Job& job) const {
  double saved = 0;
  if (job.spec->tasks == 1 && !job.saved_s.empty()) saved = job.saved_s.begin()->second;
  return std::max(Seconds(1), job.spec->estimate - Seconds(saved));
}

// Until the next aim that can still be met; negative once none can.
double Fleet::slack_of(const Job& job, Seconds remaining) const {
  const double age = age_of(job).count();
  constexpr double kNoAim = 3600;  // then by age
  bool any = false;
  double best = kNoAim - age, late = -kNoAim;
  const auto aim = [&](double slack) {
    if (slack >= 0) {
      best = any ? std::min(best, slack) : slack;
      any = true;
    } else {
      late = std::max(late, slack);
    }
  };
  if (job.spec->deadline) aim(job.spec->deadline->count() - age - remaining.count());
  for (const auto& o : settings_.objectives) {
    if (o.job_class != job.spec->job_class) continue;
    if (o.kind == "finished") aim(o.within.count() - age - remaining.count());
    if (o.kind == "wait" && !job.first_started) aim(o.within.count() - age);
  }
  return any || late == -kNoAim ? best : late;
}

std::map<std::pair<std::string, bool>, std::size_t> Fleet::group_sizes() const {
  std::map<std::pair<std::string, bool>, std::size_t> out;
  for (const auto& [id, m] : machines_.all()) {
    if (m.reported && !m.silent) ++out[{m.zone, m.spot}];
  }
  return out;
}

std::vector<JobCounts> Fleet::counts() const {
  std::vector<JobCounts> out;
  for (const auto& [id, job] : jobs_.all()) {
    std::uint32_t running = 0;
    for (const auto& [index, placed] : job.placed) {
      const auto m = machines_.all().find(placed.machine);
      if (m == machines_.all().end()) continue;
      const auto o = m->second.occupants.find({TaskId{id, index}, placed.attempt});
      if (o != m->second.occupants.end() && o->second.phase == Occupant::Phase::Present &&
          o->second.state == TaskState::Running) {
        ++running;
      }
    }
    if (job.done_count > 0 || running > 0) out.push_back({id, job.done_count, running});
  }
  return out;
}

}  // namespace asterstair::fleet
