// The term as a whole: its loop, and what others ask of it.

#include "leader/term.hpp"

#include <algorithm>

#include "base/log.hpp"

namespace asterstair::leader {
namespace {

constexpr auto kTick = 250ms;
constexpr auto kSumUpEvery = 10s;
constexpr auto kSizesEvery = 1s;
constexpr auto kHeartbeatGrace = 500ms;  // beyond the longest time between a worker's reports
constexpr std::ptrdiff_t kSeveral = 3;
constexpr auto kFlushEvery = 3s;  // of a job's progress
constexpr auto kWatchWait = 5s;
constexpr int kWatchesInLimit = 3;  // so many must fit: one may be lost

}  // namespace

Term::Term(Runtime& runtime, store::Store& store, const leader::Election& election,
           const Settings& settings, const cloud::Catalog& catalog)
    : runtime_(runtime),
      store_(store),
      election_(election),
      settings_(settings),
      catalog_(catalog),
      max_view_staleness_(max_view_staleness(settings)),
      watch_wait_(std::min<Duration>(kWatchWait, max_view_staleness_ / kWatchesInLimit)),
      token_(election.token()),
      elected_at_(runtime.now()),
      previous_leaders_expiry_(election.previous_leaders_expiry()),
      last_heartbeat_at_(runtime.now()) {}

void Term::start() {
  load();
  tick();
}

void Term::tick() {
  if (!alive()) return;
  runtime_.after(kTick, [self = weak_from_this()] {
    if (const auto f = self.lock()) f->tick();
  });
  if (!recovered_) return;
  expire_leases();
  while (!arrivals_.empty() && runtime_.now() - arrivals_.front().at > kArrivalWindow) {
    arrivals_.pop_front();
  }
  check_reconciled();
  check_gangs();
  for (auto& [id, m] : machines_.all()) on_preemption_notice(m);
  release_plans();
  if (!election_.lease_valid()) return;
  write_registry();
  begin_jobs();
  const auto now = runtime_.now();
  for (auto& [id, job] : jobs_.all()) {
    if (job.all_done()) {
      finish(job);
    } else if (!job.dirty.empty() && now - job.last_flush > kFlushEvery) {
      flush(job);
    }
  }
  if (runtime_.now() >= next_plan_) plan();
  if (now - summed_up_at_ >= kSumUpEvery) {
    summed_up_at_ = now;
    sum_up();
  }
}

// How full the fleet is, for whoever reads the log.
void Term::sum_up() const {
  sched::Resources room, used;
  std::size_t up = 0, waiting = 0;
  for (const auto& [id, m] : machines_.all()) {
    const auto* type = catalog_.find(m.type);
    if (type == nullptr || !m.reconciled || m.lease_expired) continue;
    ++up;
    room.add(sched::Resources{type->cpus, type->gpus, type->memory_gb});
    used.add(m.usage.used);
  }
  for (const auto& d : demand_) waiting += d.tasks;
  log::info(
      "{} machines; cpus {:.0f} of {:.0f}, accelerators {:.0f} of {:.0f}; {} tasks of {} jobs wait "
      "for room",
      up, used.cpus, room.cpus, used.gpus, room.gpus, waiting, demand_.size());
}

bool Term::usable(const Machine& m, TimePoint now) const {
  return m.reconciled && !m.lease_expired && m.service == Machine::Service::InUse && !m.faulty &&
         !m.reclaim_at && !m.unresponsive_since && now >= m.no_room_until &&
         now >= m.paused_until &&
         now - m.last_heartbeat < settings_.heartbeat_interval * 5 / 2 + 1s;
}

bool Term::heartbeats_lost() const {
  if (!recovered_ || runtime_.now() - last_heartbeat_at_ <
                         settings_.heartbeat_interval * 5 / 4 + kHeartbeatGrace) {
    return false;
  }
  const auto& all = machines_.all();
  return std::count_if(all.begin(), all.end(), [](const auto& m) {
           return !m.second.lease_expired && (m.second.reconciled || m.second.registered);
         }) >= kSeveral;
}

double Term::cache_gb(const std::string& type) const {
  const auto* t = catalog_.find(type);
  return t == nullptr ? 0 : t->cache_gb;
}

Seconds Term::age_of(const Job& job) const {
  return std::max(Seconds(0), Seconds(runtime_.wall() - job.accepted));
}

Seconds Term::remaining_of(const Job& job) const {
  double saved = 0;
  if (job.spec->tasks == 1 && !job.saved_s.empty()) saved = job.saved_s.begin()->second;
  return std::max(Seconds(1), job.spec->estimate - Seconds(saved));
}

// Until the next aim that can still be met; negative once none can.
double Term::slack_of(const Job& job, Seconds remaining) const {
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

std::map<std::pair<std::string, bool>, std::size_t> Term::group_sizes() const {
  std::map<std::pair<std::string, bool>, std::size_t> out;
  for (const auto& [id, m] : machines_.all()) {
    if (m.reconciled && !m.lease_expired) ++out[{m.zone, m.spot}];
  }
  return out;
}

std::vector<JobCounts> Term::counts() const {
  std::vector<JobCounts> out;
  for (const auto& [id, job] : jobs_.all()) {
    if (job.done_count > 0 || job.running > 0) out.push_back({id, job.done_count, job.running});
  }
  return out;
}

double Term::loss_rate(const Machine& m) const {
  const auto now = runtime_.now();
  // Looked up for every start: counted anew only now and then.
  if (sizes_.empty() || now - sizes_at_ > kSizesEvery) {
    sizes_ = group_sizes();
    sizes_at_ = now;
  }
  const auto n = sizes_.find({m.zone, m.spot});
  return losses_.rate({m.zone, m.spot}, n == sizes_.end() ? 1 : n->second, now);
}

}  // namespace asterstair::leader
