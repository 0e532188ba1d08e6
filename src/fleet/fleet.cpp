#include "fleet/fleet.hpp"

#include <algorithm>

#include "base/log.hpp"
#include "sched/score.hpp"
#include "store/records.hpp"
#include "wire/worker.hpp"

namespace asterstair::fleet {
namespace {

constexpr auto kTick = 250ms;
constexpr auto kPlanEvery = 40ms;  // at most, while reports pour in
constexpr auto kWatchWait = 5s;
constexpr auto kLeaseMargin = 300ms;  // beyond drift: steps between clock reading and action
constexpr auto kFlushEvery = 3s;      // of a job's progress
constexpr auto kNoRoomPause = 3s;
constexpr auto kFailedPause = 10s;            // of a machine whose last task failed
constexpr std::uint32_t kFaultyJobs = 2;      // failures of so many jobs: the machine is at fault
constexpr std::uint32_t kFaultyFailures = 6;  // or so many in a row
constexpr std::size_t kBadJobMachines = 3;    // failures on so many machines: the job is at fault
constexpr auto kBackoffFirst = 4s, kBackoffMost = 60s;
constexpr Seconds kEndsSoon{15};
constexpr auto kMoveEvery = 30s;
constexpr double kMoveWorth = 4;
constexpr double kEndsInTime = 0.7;  // of a notice: estimates are rough
constexpr Seconds kRestartTime{1};   // of a task that finds its image

const char* cause_word(ExitCause c) {
  switch (c) {
    case ExitCause::None:
      return "unstated";
    case ExitCause::Done:
      return "done";
    case ExitCause::Stopped:
      return "stopped";
    case ExitCause::Peers:
      return "peers";
    case ExitCause::Alone:
      return "alone";
    case ExitCause::Error:
      return "error";
    case ExitCause::NoRoom:
      return "no room";
    case ExitCause::Busy:
      return "busy";
    case ExitCause::Unknown:
      return "unknown";
  }
  return "";
}

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

// ---- Loading and following the jobs ----

void Fleet::reload_later() {
  runtime_.after(300ms, [self = weak_from_this()] {
    if (const auto f = self.lock(); f && f->alive()) f->load();
  });
}

void Fleet::load() {
  store_.list(store::kLivePrefix, [self = weak_from_this()](const store::ListResult& r) {
    const auto f = self.lock();
    if (!f || !f->alive()) return;
    if (!r.ok) {
      f->reload_later();
      return;
    }
    std::set<std::string> live;
    for (const auto& item : r.items) {
      live.insert(item.key.substr(std::string_view(store::kLivePrefix).size()));
      f->add_live(item);
    }
    // On a second load, jobs that ended while no watch was open are missing.
    std::vector<std::string> ended;
    for (const auto& [id, job] : f->jobs_.all()) {
      if (live.count(id) == 0 && job.version <= r.revision) ended.push_back(id);
    }
    for (const auto& id : ended) f->job_ended(id);
    f->live_revision_ = r.revision;
    f->view_at_ = f->runtime_.now();
    if (f->loaded_) {
      f->watch(r.revision);
    } else {
      f->load_progress();
    }
  });
}

void Fleet::load_progress() {
  store_.list(store::kProgressPrefix, [self = weak_from_this()](const store::ListResult& r) {
    const auto f = self.lock();
    if (!f || !f->alive()) return;
    if (!r.ok) {
      f->reload_later();
      return;
    }
    for (const auto& item : r.items) {
      const auto key = store::parse_progress_key(item.key);
      if (!key) continue;
      Job* job = f->jobs_.find(key->first);
      if (job == nullptr) {
        // Left by a cancellation with more chunks than a transaction holds, or of a job accepted
        // after the list was read; only what has no live record is swept.
        wire::Txn sweep;
        sweep.conditions = {f->election_.guard(), {store::live_key(key->first), 0}};
        sweep.changes = {{item.key, std::nullopt}};
        f->store_.write(std::move(sweep), store::Urgency::Lazy, [](const store::WriteResult&) {});
        continue;
      }
      f->versions_[item.key] = item.version;
      try {
        store::decode_chunk(*item.value, key->second, f->settings_.value_bytes, job->done);
      } catch (const wire::BadMessage& e) {
        log::error("progress of {} is malformed: {}", key->first, e.what());
      }
      job->begun = job->begun_before = true;
    }
    for (auto& [id, job] : f->jobs_.all()) {
      job.done_count =
          static_cast<std::uint32_t>(std::count(job.done.begin(), job.done.end(), true));
      // Where tasks of jobs that an earlier leader began may be is known once settled.
      if (job.begun_before) {
        job.waiting.clear();
      } else {
        Jobs::rebuild_waiting(job);
      }
    }
    f->load_roster();
  });
}

void Fleet::load_roster() {
  store_.list(store::kRosterPrefix, [self = weak_from_this()](const store::ListResult& r) {
    const auto f = self.lock();
    if (!f || !f->alive()) return;
    if (!r.ok) {
      f->reload_later();
      return;
    }
    f->roster_.clear();
    for (const auto& item : r.items) {
      f->versions_[item.key] = item.version;
      std::set<std::string> chunk;
      try {
        for (auto& m : store::decode_roster(*item.value)) chunk.insert(std::move(m));
      } catch (const wire::BadMessage& e) {
        log::error("roster is malformed: {}", e.what());
      }
      for (const auto& id : chunk) {
        Machine& m = f->machines_.at(id);
        m.id = id;
        m.rostered = true;
        // No earlier leader answered after our claim; its answers renewed no later than that.
        if (m.last_answered == TimePoint{}) m.last_answered = f->elected_at_;
      }
      f->roster_.push_back(std::move(chunk));
    }
    f->loaded_ = true;
    log::info("term {}: {} live jobs, {} machines to hear from", f->token_, f->jobs_.all().size(),
              f->machines_.all().size());
    f->watch(f->live_revision_);
    f->check_settled();
  });
}

void Fleet::watch(std::uint64_t after) {
  store_.watch(store::kLivePrefix, after, kWatchWait,
               [self = weak_from_this(), after](const store::WatchResult& r) {
                 const auto f = self.lock();
                 if (!f || !f->alive()) return;
                 if (r.outcome == store::WatchResult::Outcome::TooOld) {
                   f->load();
                   return;
                 }
                 if (r.outcome == store::WatchResult::Outcome::Unavailable) {
                   f->runtime_.after(200ms, [self, after] {
                     if (const auto g = self.lock(); g && g->alive()) g->watch(after);
                   });
                   return;
                 }
                 f->view_at_ = f->runtime_.now();
                 for (const auto& item : r.events.items) {
                   if (item.value) {
                     f->add_live(item);
                   } else {
                     f->job_ended(item.key.substr(std::string_view(store::kLivePrefix).size()));
                   }
                 }
                 f->watch(std::max(after, r.events.revision));
               });
}

void Fleet::add_live(const wire::Item& item) {
  try {
    auto record = store::decode_live(*item.value);
    const bool known = jobs_.find(record.job.id) != nullptr;
    Job& job = jobs_.add(std::move(record.job), item.version, record.accepted);
    if (!known) {
      log::debug("job {} of {}: {} tasks, age {:.1f} s", job.spec->id, job.spec->job_class,
                 job.spec->tasks, age_of(job).count());
      plan_wanted_ = true;
      // Of jobs found when a term begins the arrival is not known; they count as new.
      arrivals_.push_back({runtime_.now(), job.spec, slack_of(job, remaining_of(job))});
    }
  } catch (const wire::BadMessage& e) {
    log::error("live record {} is malformed: {}", item.key, e.what());
  }
}

void Fleet::job_ended(const std::string& id) {
  const Job* job = jobs_.find(id);
  if (job == nullptr) return;
  // Whatever of it is left serves nobody: stopped at once, and cleared when it has ended.
  for (const auto& [index, placed] : job->placed) {
    Machine* m = machines_.find(placed.machine);
    if (m == nullptr) continue;
    const auto it = m->occupants.find({TaskId{id, index}, placed.attempt});
    if (it != m->occupants.end()) stop_occupant(it->second, Seconds(0));
  }
  log::info("job {} of {} ended after {:.1f} s, {} of {} tasks done", id, job->spec->job_class,
            age_of(*job).count(), job->done_count, job->spec->tasks);
  const auto chunks = store::chunk_count(job->spec->tasks, settings_.value_bytes);
  for (std::size_t c = 0; c < chunks; ++c) versions_.erase(store::progress_key(id, c));
  jobs_.erase(id);
  plan_wanted_ = true;
}

bool Fleet::view_fresh() const {
  // A watch that has not answered for long may hide cancellations; see leader_ttl().
  return runtime_.now() - view_at_ < leader_ttl(settings_) + kWatchWait;
}

// ---- Reports ----

HttpResponse Fleet::report(const WorkerReport& r) {
  const auto now = runtime_.now();
  Machine& m = machines_.at(r.machine);
  if (m.id.empty()) m.id = r.machine;
  // Whatever this answer does, it may renew the worker's lease.
  m.last_answered = now;
  if (r.token != token_ || !loaded_) {
    // Sent before the worker knew this leader: what it shows may be older than the last leader's
    // doings. The answer carries the token; the next report counts.
    return {200, wire::encode_commands(token_, {})};
  }
  Events events;
  if (machines_.apply(r, now, cache_gb(r.type), events) == Machines::Order::Late) {
    return {200, wire::encode_commands(token_, {})};
  }
  if (!m.rostered) roster_waiting_.insert(m.id);
  handle(m, events);
  check_notices();
  if (!settled_) check_settled();
  if (plan_wanted_ && now - last_plan_ >= kPlanEvery) plan();
  return {200, wire::encode_commands(token_, commands_for(m, r.seq))};
}

void Fleet::handle(Machine& m, const Events& events) {
  for (const auto& e : events) {
    const Occupant& o = e.occupant;
    const auto key = std::pair(o.task, o.attempt);
    plan_wanted_ = true;
    switch (e.kind) {
      case TaskEvent::Kind::Started: {
        if (Job* job = jobs_.find(o.task.job); job != nullptr && !job->first_started) {
          job->first_started = true;
          log::info("job {} of {}: first task on {} after {:.1f} s", o.task.job,
                    job->spec->job_class, m.id, age_of(*job).count());
        }
        break;
      }
      case TaskEvent::Kind::Adopted: {
        Occupant& here = m.occupants.at(key);
        Job* job = jobs_.find(o.task.job);
        if (job != nullptr) here.job = job->spec;
        // A reported task whose job is not live is killed; so is one that is done or elsewhere.
        if (job == nullptr || !Jobs::place(*job, o.task.index, {m.id, o.attempt})) {
          stop_occupant(here, Seconds(0));
        } else {
          job->first_started = true;
        }
        break;
      }
      case TaskEvent::Kind::Exited:
        on_exit(m, o);
        break;
      case TaskEvent::Kind::NotStarted:
        on_gone(m, o, false);
        break;
      case TaskEvent::Kind::Vanished:
        on_gone(m, o, true);
        break;
    }
  }
}

void Fleet::on_exit(Machine& m, const Occupant& o) {
  Occupant& here = m.occupants.at({o.task, o.attempt});
  const auto now = runtime_.now();
  Job* job = jobs_.find(o.task.job);
  if (job == nullptr) {
    here.forget = true;
    return;
  }
  if (o.cause == ExitCause::Done) {
    m.failures = 0;
    m.failed_jobs.clear();
    const auto per = store::tasks_per_chunk(settings_.value_bytes);
    // A gang completes together: when one task is done, every task is.
    const auto first = job->spec->gang() ? 0 : o.task.index;
    const auto last = job->spec->gang() ? job->spec->tasks - 1 : o.task.index;
    for (auto i = first; i <= last; ++i) Jobs::set_done(*job, i, i / per);
    Jobs::unplace(*job, o.task.index, {m.id, o.attempt});
    if (job->all_done()) finish(*job);
    return;  // cleared once that is durable
  }
  here.forget = true;
  log::debug("{}/{} ended on {}: {}{}", o.task.job, o.task.index, m.id, cause_word(o.cause),
             o.saved ? ", saved" : "");
  switch (o.cause) {
    case ExitCause::Error:
      on_error(m, *job);
      break;
    case ExitCause::NoRoom:
      m.no_room_until = now + kNoRoomPause;
      break;
    case ExitCause::Busy:
    case ExitCause::Unknown:
      job->not_before = now + kBackoffFirst;
      break;
    default:
      break;
  }
  on_gone(m, o, false);
}

void Fleet::on_error(Machine& m, Job& job) {
  const auto now = runtime_.now();
  const bool new_here = job.failed_on.insert(m.id).second;
  if (job.failed_on.size() >= kBadJobMachines) {
    // It fails wherever it goes: submitted with a mistake. Tried ever more rarely until its user
    // cancels it, and no longer held against the machines.
    if (new_here || now >= job.not_before) {
      const auto pause = std::min<Duration>(
          kBackoffFirst * (1U << std::min(job.failure_rounds, 5U)), kBackoffMost);
      job.not_before = now + pause;
      ++job.failure_rounds;
      log::info("job {} fails on several machines; next try in {:.0f} s", job.spec->id,
                seconds(pause));
      for (const auto& id : job.failed_on) {
        if (Machine* other = machines_.find(id)) other->failed_jobs.erase(job.spec->id);
      }
    }
    return;
  }
  m.failed_jobs.insert(job.spec->id);
  ++m.failures;
  m.paused_until = now + kFailedPause;
  if (!m.faulty && (m.failed_jobs.size() >= kFaultyJobs || m.failures >= kFaultyFailures)) {
    m.faulty = true;
    log::info("machine {} fails its tasks ({} in a row, {} jobs); no more work for it", m.id,
              m.failures, m.failed_jobs.size());
  }
}

void Fleet::on_gone(Machine& m, const Occupant& o, bool lost) {
  Job* job = jobs_.find(o.task.job);
  if (job == nullptr) return;
  const auto it = job->placed.find(o.task.index);
  if (it == job->placed.end() || it->second.machine != m.id || it->second.attempt != o.attempt) {
    return;
  }
  if (o.running_since != TimePoint{} && job->spec->checkpoint.count() > 0) {
    // What its checkpoints kept, to judge how much is left.
    const double ran = seconds(runtime_.now() - o.running_since);
    const double every = job->spec->checkpoint.count();
    auto& saved = job->saved_s[o.task.index];
    saved += o.saved ? ran : static_cast<double>(static_cast<std::int64_t>(ran / every)) * every;
  }
  if (lost) log::debug("{}/{} lost on {}", o.task.job, o.task.index, m.id);
  if (o.running_since != TimePoint{}) job->last_zone = m.zone;
  Jobs::unplace(*job, o.task.index, {m.id, o.attempt});
}

void Fleet::stop_occupant(Occupant& o, Seconds grace) {
  if (o.stop && o.grace <= grace) return;
  o.stop = true;
  o.grace = grace;
  if (o.phase == Occupant::Phase::Exited) o.forget = true;
}

std::vector<Command> Fleet::commands_for(Machine& m, std::uint64_t seq) {
  std::vector<Command> stops, forgets, starts;
  const bool startable = m.rostered && usable(m) && view_fresh();
  Events gone;
  std::map<std::pair<std::string, bool>, std::size_t> sizes;
  for (auto it = m.occupants.begin(); it != m.occupants.end();) {
    Occupant& o = it->second;
    switch (o.phase) {
      case Occupant::Phase::Exited:
        if (!o.forget && jobs_.find(o.task.job) == nullptr) o.forget = true;
        if (o.forget) forgets.push_back({Command::Op::Forget, o.task, o.attempt});
        break;
      case Occupant::Phase::Present:
        // Nobody may run whose job is not live; looked up here so that no path can miss it.
        if (!o.stop && jobs_.find(o.task.job) == nullptr) stop_occupant(o, Seconds(0));
        if (o.stop && !(o.state == TaskState::Saving && o.grace.count() > 0)) {
          stops.push_back({Command::Op::Stop, o.task, o.attempt, o.grace});
        }
        break;
      case Occupant::Phase::Planned:
      case Occupant::Phase::Ordered: {
        const Job* job = jobs_.find(o.task.job);
        if (o.phase == Occupant::Phase::Planned && (o.stop || job == nullptr || !usable(m))) {
          gone.push_back({TaskEvent::Kind::NotStarted, o});
          it = m.occupants.erase(it);
          continue;
        }
        if (o.phase == Occupant::Phase::Planned && startable && job->begun) {
          double rate = 0;
          if (sizes.empty()) sizes = group_sizes();
          for (const auto& [index, placed] : job->placed) {
            const Machine* other = machines_.find(placed.machine);
            if (other == nullptr || (!job->spec->gang() && index != o.task.index)) continue;
            const auto n = sizes.find({other->zone, other->spot});
            rate += losses_.rate({other->zone, other->spot}, n == sizes.end() ? 1 : n->second,
                                 runtime_.now());
          }
          Command start{Command::Op::Start, o.task, o.attempt};
          if (job->spec->checkpoint.count() > 0) {
            start.interval = sched::checkpoint_interval(job->spec->save, rate, sched::kLossBudget);
          }
          starts.push_back(std::move(start));
        }
        break;
      }
    }
    ++it;
  }
  handle(m, gone);
  std::vector<Command> out = std::move(stops);
  out.insert(out.end(), forgets.begin(), forgets.end());
  // Only what fits into the answer counts as ordered.
  constexpr std::size_t kMostCommands = 300;
  if (out.size() > kMostCommands) out.resize(kMostCommands);
  for (auto& c : starts) {
    if (out.size() >= kMostCommands) break;
    Occupant& o = m.occupants.at({c.task, c.attempt});
    o.phase = Occupant::Phase::Ordered;
    o.ordered_seq = seq;
    out.push_back(std::move(c));
  }
  return out;
}

// ---- Loops ----

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

void Fleet::expire_leases() {
  const auto now = runtime_.now();
  const auto out =
      to_duration(Seconds(seconds(settings_.lease) * (1 + kClockDrift))) + kLeaseMargin;
  for (auto& [id, m] : machines_.all()) {
    if (m.silent || now - m.last_answered <= out) continue;
    m.silent = true;
    if (m.reported && !m.goes_at) losses_.lost({m.zone, m.spot}, now);
    log::info("machine {}: its lease has run out", id);
    Events events;
    machines_.clear(m, events);
    handle(m, events);
  }
}

void Fleet::check_settled() {
  if (settled_ || !loaded_) return;
  std::size_t missing = 0;
  for (const auto& [id, m] : machines_.all()) {
    if (m.rostered && !m.reported && !m.silent) ++missing;
  }
  if (missing > 0) return;
  settled_ = true;
  for (auto& [id, job] : jobs_.all()) {
    if (job.begun_before) Jobs::rebuild_waiting(job);
  }
  plan_wanted_ = true;
  log::info("term {}: settled after {:.1f} s", token_, seconds(runtime_.now() - elected_at_));
}

void Fleet::write_roster() {
  if (roster_writing_) return;
  for (auto it = roster_waiting_.begin(); it != roster_waiting_.end();) {
    const Machine* m = machines_.find(*it);
    it = m == nullptr || m->rostered ? roster_waiting_.erase(it) : std::next(it);
  }
  constexpr std::size_t kRoomPerName = 40;
  const std::size_t per_chunk = settings_.value_bytes / kRoomPerName;
  // The first chunk that names machines that have gone, or has room for new ones.
  std::size_t chunk = 0;
  std::set<std::string> names;
  for (;; ++chunk) {
    if (chunk >= roster_.size()) {
      if (roster_waiting_.empty()) return;
      roster_.emplace_back();
    }
    names.clear();
    for (const auto& id : roster_[chunk]) {
      const Machine* m = machines_.find(id);
      if (m != nullptr && !m->silent) names.insert(id);
    }
    if (names.size() < roster_[chunk].size()) break;
    if (!roster_waiting_.empty() && names.size() < per_chunk) break;
  }
  // Left out before the write is sent: one that comes back gets no work until it is entered anew.
  for (const auto& id : roster_[chunk]) {
    if (names.count(id) != 0) continue;
    if (Machine* m = machines_.find(id)) m->rostered = false;
  }
  std::vector<std::string> added;
  for (const auto& id : roster_waiting_) {
    if (names.size() >= per_chunk) break;
    names.insert(id);
    added.push_back(id);
  }
  wire::Txn txn;
  txn.changes = {{store::roster_key(chunk),
                  store::encode_roster(std::vector<std::string>(names.begin(), names.end()))}};
  roster_writing_ = true;
  write_own(std::move(txn), store::Urgency::Start,
            [this, chunk, names = std::move(names), added = std::move(added)](bool committed) {
              roster_writing_ = false;
              if (!committed) return;
              roster_[chunk] = names;
              for (const auto& id : added) {
                roster_waiting_.erase(id);
                if (Machine* m = machines_.find(id)) m->rostered = true;
              }
            });
}

void Fleet::begin_jobs() {
  for (auto& [id, job] : jobs_.all()) {
    if (!job.begun && !job.beginning) begin(job);
  }
}

void Fleet::begin(Job& job) {
  job.beginning = true;
  wire::Txn txn;
  txn.conditions = {{store::live_key(job.spec->id), job.version}};
  txn.changes = {{store::progress_key(job.spec->id, 0),
                  store::encode_chunk(job.done, 0, settings_.value_bytes)}};
  write_own(std::move(txn), store::Urgency::Start, [this, id = job.spec->id](bool committed) {
    Job* j = jobs_.find(id);
    if (j == nullptr) return;
    j->beginning = false;
    j->begun = committed;
  });
}

// Writes keys that only the leader changes: conditional on leadership and on their versions. The
// callback runs only while this term lasts.
void Fleet::write_own(wire::Txn txn, store::Urgency urgency, std::function<void(bool)> done) {
  std::vector<std::string> keys;
  for (const auto& c : txn.changes) {
    keys.push_back(c.key);
    txn.conditions.push_back({c.key, versions_[c.key]});
  }
  txn.conditions.push_back(election_.guard());
  store_.write(
      std::move(txn), urgency,
      [self = weak_from_this(), keys, done = std::move(done)](const store::WriteResult& r) {
        const auto f = self.lock();
        if (!f || !f->alive()) return;
        if (r.outcome == store::WriteOutcome::Committed) {
          for (const auto& key : keys) f->versions_[key] = r.revision;
          done(true);
          return;
        }
        if (r.outcome == store::WriteOutcome::NotDone) {
          done(false);
          return;
        }
        // An earlier unanswered write was, or may yet be, carried out: look which
        // versions stand, then try again.
        auto left = std::make_shared<std::size_t>(keys.size());
        for (const auto& key : keys) {
          f->store_.get(key, [self, key, left, done](const store::ReadResult& g) {
            const auto h = self.lock();
            if (!h || !h->alive()) return;
            if (g.outcome == store::ReadOutcome::Found) h->versions_[key] = g.item.version;
            if (g.outcome == store::ReadOutcome::Missing) h->versions_[key] = 0;
            if (--*left == 0) done(false);
          });
        }
      });
}

void Fleet::flush(Job& job) {
  if (job.flushing || job.ending) return;
  job.flushing = true;
  job.last_flush = runtime_.now();
  wire::Txn txn;
  txn.conditions = {{store::live_key(job.spec->id), job.version}};
  std::set<std::size_t> chunks;
  for (const auto c : job.dirty) {
    if (txn.changes.size() >= settings_.txn_ops) break;
    txn.changes.push_back({store::progress_key(job.spec->id, c),
                           store::encode_chunk(job.done, c, settings_.value_bytes)});
    chunks.insert(c);
  }
  for (const auto c : chunks) job.dirty.erase(c);
  auto written = std::make_shared<std::vector<bool>>(job.done);
  write_own(std::move(txn), store::Urgency::Lazy,
            [this, id = job.spec->id, chunks, written](bool committed) {
              Job* j = jobs_.find(id);
              if (j == nullptr) return;
              j->flushing = false;
              if (!committed) {
                j->dirty.insert(chunks.begin(), chunks.end());
                return;
              }
              const auto per = store::tasks_per_chunk(settings_.value_bytes);
              for (auto& [mid, m] : machines_.all()) {
                for (auto& [key, o] : m.occupants) {
                  if (o.phase == Occupant::Phase::Exited && o.cause == ExitCause::Done &&
                      key.first.job == id && (*written)[key.first.index] &&
                      chunks.count(key.first.index / per) != 0) {
                    o.forget = true;
                  }
                }
              }
            });
}

void Fleet::finish(Job& job) {
  if (job.ending || !election_.entitled()) return;
  job.ending = true;
  auto txn =
      store::end_job(*job.spec, job.version, false, settings_.value_bytes, settings_.txn_ops);
  txn.conditions.push_back(election_.guard());
  store_.write(std::move(txn), store::Urgency::Final,
               [self = weak_from_this(), id = job.spec->id](const store::WriteResult& r) {
                 const auto f = self.lock();
                 if (!f || !f->alive()) return;
                 Job* j = f->jobs_.find(id);
                 if (j == nullptr) return;
                 j->ending = false;
                 // Otherwise the next turn tries again, or the watch tells of a cancellation.
                 if (r.outcome == store::WriteOutcome::Committed) f->job_ended(id);
               });
}

// Plans for machines that have fallen silent, or were given up, go to others.
void Fleet::release_plans() {
  for (auto& [id, m] : machines_.all()) {
    if (usable(m)) continue;
    Events gone;
    for (auto it = m.occupants.begin(); it != m.occupants.end();) {
      if (it->second.phase == Occupant::Phase::Planned) {
        gone.push_back({TaskEvent::Kind::NotStarted, it->second});
        it = m.occupants.erase(it);
      } else {
        ++it;
      }
    }
    handle(m, gone);
  }
}

void Fleet::check_gangs() {
  // A gang that lost a task stops whole (DESIGN). The others must be told within gang_peer_s.
  std::vector<std::pair<std::string, Command>> direct;
  for (auto& [id, job] : jobs_.all()) {
    if (!job.spec->gang() || job.placed.empty() || job.waiting.empty()) continue;
    for (const auto& [index, placed] : job.placed) {
      Machine* m = machines_.find(placed.machine);
      if (m == nullptr) continue;
      const auto it = m->occupants.find({TaskId{id, index}, placed.attempt});
      if (it == m->occupants.end() || it->second.stop) continue;
      stop_occupant(it->second, Seconds(0));
      if (it->second.phase == Occupant::Phase::Present) {
        direct.emplace_back(m->id, Command{Command::Op::Stop, it->second.task, placed.attempt});
      }
    }
  }
  send_direct(direct);
}

void Fleet::send_direct(const std::vector<std::pair<std::string, Command>>& stops) {
  if (stops.empty() || !election_.entitled()) return;
  std::map<std::string, std::vector<Command>> by_machine;
  for (const auto& [machine, c] : stops) by_machine[machine].push_back(c);
  for (const auto& [id, commands] : by_machine) {
    const Machine* m = machines_.find(id);
    if (m == nullptr || m->address.empty()) continue;
    // The answer is not read: reports alone say what is on a machine.
    runtime_.http(
        m->address,
        {"POST", std::string(wire::kDirectPath), wire::encode_direct(token_, m->session, commands)},
        2s, [](const HttpResponse&) {});
  }
}

void Fleet::check_notices() {
  const auto now = runtime_.now();
  std::vector<std::pair<std::string, Command>> direct;
  for (auto& [mid, m] : machines_.all()) {
    if (!m.goes_at && !m.draining && !m.faulty) continue;
    const Seconds left = m.goes_at ? Seconds(*m.goes_at - now) : Seconds(3600);
    for (auto& [key, o] : m.occupants) {
      if (o.phase != Occupant::Phase::Present || o.stop || !o.job) continue;
      if (!m.goes_at && !m.faulty) continue;  // a drained machine's tasks may end by themselves
      const auto& job = *o.job;
      const bool saves =
          job.checkpoint.count() > 0 && sched::final_save_fits(job.save, kRestartTime, left);
      if (!saves) {
        // What cannot be saved and will not end in time is lost anyway; elsewhere at once is
        // better than after the machine's lease has run out.
        const Seconds ran =
            o.running_since == TimePoint{} ? Seconds(0) : Seconds(now - o.running_since);
        if (!m.goes_at || job.estimate - ran <= left * kEndsInTime) continue;
      }
      Job* live = jobs_.find(o.task.job);
      if (live == nullptr) continue;
      // The whole gang is told at once, wherever its tasks are.
      for (const auto& [index, placed] : live->placed) {
        if (!job.gang() && index != o.task.index) continue;
        Machine* other = machines_.find(placed.machine);
        if (other == nullptr) continue;
        const auto it = other->occupants.find({TaskId{o.task.job, index}, placed.attempt});
        if (it == other->occupants.end() || it->second.stop) continue;
        const Seconds grace = saves ? job.save + Seconds(settings_.gang_peer) : Seconds(0);
        stop_occupant(it->second, grace);
        if (job.gang() && job.tasks > 1) {
          direct.emplace_back(placed.machine,
                              Command{Command::Op::Stop, it->second.task, placed.attempt, grace});
        }
      }
    }
  }
  send_direct(direct);
}

// ---- Placement ----

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

sched::Snapshot Fleet::snapshot(std::vector<std::string>& machine_ids,
                                std::vector<std::string>& job_ids) {
  sched::Snapshot s;
  const auto now = runtime_.now();
  for (const auto& [name, t] : settings_.teams) {
    s.teams[name] = {{}, t.cpus, t.gpus, t.cpus_max, t.gpus_max};
  }
  const auto sizes = group_sizes();
  std::map<std::string, std::map<std::string, std::uint32_t>> in_zone;  // of jobs that care
  for (const auto& [id, m] : machines_.all()) {
    sched::PlanMachine p;
    const auto* type = catalog_.find(m.type);
    if (type != nullptr) p.free = {type->cpus, type->gpus, type->memory_gb};
    bool unknown_task = false;
    for (const auto& [key, o] : m.occupants) {
      if (!o.holds_room()) continue;
      if (!o.job) {
        unknown_task = true;
        continue;
      }
      p.free.add(*o.job, -1);
      s.teams[o.job->team].used.add(*o.job);
      if (o.job->one_zone || o.job->spread) ++in_zone[o.job->id][m.zone];
    }
    if (type == nullptr || unknown_task || !usable(m)) continue;
    p.ref = machine_ids.size();
    p.type = type;
    p.zone = m.zone;
    p.spot = m.spot;
    p.images = &m.images;
    p.loss_rate = losses_.rate({m.zone, m.spot}, sizes.at({m.zone, m.spot}), now);
    machine_ids.push_back(id);
    s.machines.push_back(std::move(p));
  }
  std::vector<const Job*> by_arrival;
  for (const auto& [id, job] : jobs_.all()) by_arrival.push_back(&job);
  std::sort(by_arrival.begin(), by_arrival.end(), [](const Job* a, const Job* b) {
    return std::tie(a->accepted, a->spec->id) < std::tie(b->accepted, b->spec->id);
  });
  sched::Guarantees guarantees(s.teams);
  for (const Job* arrived : by_arrival) {
    const Job& job = *arrived;
    const std::string& id = job.spec->id;
    const bool guaranteed = guarantees.next(*job.spec, job.unfinished());
    if (job.waiting.empty() || now < job.not_before || job.ending) continue;
    // Until all machines have been heard from, tasks that nobody reported may run anywhere.
    if (!settled_ && job.begun_before) continue;
    if (!settled_) {
      const auto t = settings_.teams.find(job.spec->team);
      if (t == settings_.teams.end() || t->second.cpus_max > 0 || t->second.gpus_max > 0) continue;
    }
    // All of a gang or nothing, and nothing while an old attempt is anywhere.
    if (job.spec->gang() && job.waiting.size() != job.spec->tasks) continue;
    sched::PlanJob p;
    p.ref = job_ids.size();
    p.job = job.spec.get();
    p.waiting = static_cast<std::uint32_t>(job.waiting.size());
    if (const auto it = in_zone.find(id); it != in_zone.end()) p.in_zone = it->second;
    p.last_zone = job.last_zone;
    p.remaining = remaining_of(job);
    p.waited = age_of(job);
    p.guaranteed = guaranteed;
    p.slack = slack_of(job, p.remaining);
    p.work = p.remaining * static_cast<double>(job.unfinished());
    job_ids.push_back(id);
    s.jobs.push_back(std::move(p));
  }
  return s;
}

void Fleet::plan() {
  if (!loaded_ || !election_.entitled() || !view_fresh() || !catalog_.known()) return;
  plan_wanted_ = false;
  last_plan_ = runtime_.now();
  std::vector<std::string> machine_ids, job_ids;
  auto s = snapshot(machine_ids, job_ids);
  // Machines a job failed on are left out for it while others may do.
  std::vector<std::set<std::size_t>> avoid(s.jobs.size());
  for (std::size_t i = 0; i < s.jobs.size(); ++i) {
    const Job* job = jobs_.find(job_ids[i]);
    if (job->failed_on.empty() || job->failed_on.size() >= kBadJobMachines) continue;
    for (std::size_t m = 0; m < machine_ids.size(); ++m) {
      if (job->failed_on.count(machine_ids[m]) != 0) avoid[i].insert(m);
    }
    s.jobs[i].avoid = &avoid[i];
  }
  const auto plan = sched::plan(s, runtime_.rng());
  std::map<std::string, std::uint64_t> gang_attempts;
  for (const auto& p : plan.placements) {
    Job& job = *jobs_.find(job_ids[p.job]);
    Machine& m = *machines_.find(machine_ids[p.machine]);
    for (std::uint32_t n = 0; n < p.tasks; ++n) {
      // Numbers from the token and a counter are never used twice, by any leader.
      constexpr unsigned kCounterBits = 24;
      std::uint64_t attempt = 0;
      if (job.spec->gang()) {
        auto& a = gang_attempts[job.spec->id];
        if (a == 0) a = (token_ << kCounterBits) | ++attempts_;
        attempt = a;
      } else {
        attempt = (token_ << kCounterBits) | ++attempts_;
      }
      const auto index = Jobs::take_waiting(job);
      job.placed[index] = {m.id, attempt};
      Occupant o;
      o.task = {job.spec->id, index};
      o.attempt = attempt;
      o.job = job.spec;
      o.planned_at = last_plan_;
      m.occupants.emplace(std::pair(o.task, attempt), std::move(o));
    }
  }
  demand_.clear();
  for (const auto& [i, left] : plan.unplaced) {
    const auto& j = s.jobs[i];
    const auto& team = s.teams[j.job->team];
    double n = left;
    if (team.max_cpus > 0 && j.job->cpus > 0) {
      n = std::min(n, (team.max_cpus - team.used.cpus) / j.job->cpus);
    }
    if (team.max_gpus > 0 && j.job->gpus > 0) {
      n = std::min(n, (team.max_gpus - team.used.gpus) / j.job->gpus);
    }
    if (n < 1) continue;
    demand_.push_back(
        {jobs_.find(job_ids[i])->spec, static_cast<std::uint32_t>(n), j.remaining, j.slack});
  }
  if (!plan.unplaced.empty()) preempt(s, plan, machine_ids);
}

void Fleet::preempt(sched::Snapshot& s, const sched::Plan& plan,
                    const std::vector<std::string>& machine_ids) {
  std::vector<sched::PlanVictim> victims;
  std::vector<std::pair<std::string, std::pair<TaskId, std::uint64_t>>> refs;
  const auto now = runtime_.now();
  for (std::size_t i = 0; i < s.machines.size(); ++i) {
    auto& machine = s.machines[i];
    Machine& m = *machines_.find(machine_ids[machine.ref]);
    for (auto& [key, o] : m.occupants) {
      if (!o.holds_room() || !o.job) continue;
      if (o.stop) {
        machine.free.add(*o.job);  // on its way out
        continue;
      }
      if (o.phase == Occupant::Phase::Ordered || (o.job->gang() && o.job->tasks > 1)) continue;
      double lost = 0;
      if (o.running_since != TimePoint{}) {
        lost = seconds(now - o.running_since);
        if (o.job->checkpoint.count() > 0) lost = o.job->save.count();
      }
      victims.push_back({i, refs.size(), o.job.get(), lost});
      refs.emplace_back(m.id, key);
    }
  }
  for (const auto ref : sched::preempt(s, plan, victims)) {
    const auto& [mid, key] = refs[ref];
    Occupant& o = machines_.find(mid)->occupants.at(key);
    log::debug("{}/{} on {} makes room", o.task.job, o.task.index, mid);
    stop_occupant(
        o, o.job->checkpoint.count() > 0 ? o.job->save + Seconds(settings_.gang_peer) : Seconds(0));
  }
}

// ---- For others ----

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

void Fleet::drain(const std::string& id) {
  if (Machine* m = machines_.find(id)) m->draining = true;
}

// Whether all that runs there is worth moving: it can save, and has more left than a move costs;
// or ends soon by itself.
bool Fleet::can_move(const Machine& m) const {
  const auto now = runtime_.now();
  bool any = false;
  for (const auto& [key, o] : m.occupants) {
    if (!o.holds_room()) continue;
    if (o.phase != Occupant::Phase::Present || o.state != TaskState::Running || o.stop || !o.job) {
      return false;
    }
    const Seconds left = o.job->estimate - Seconds(now - o.running_since);
    const bool saves = o.job->checkpoint.count() > 0 && (!o.job->gang() || o.job->tasks == 1);
    if (saves) any = true;
    if (!saves && left > kEndsSoon) return false;
    // A task moves once in a while at most, and only with much more left than the move costs.
    if (now - o.running_since < kMoveEvery) return false;
    const auto* type = catalog_.find(m.type);
    const double rate = type != nullptr && type->fetch_gb_per_s > 0 ? type->fetch_gb_per_s
                                                                    : sched::kFetchGbPerSecond;
    const Seconds move = o.job->save + sched::start_delay(o.job->image_gb, false, rate);
    if (saves && left < move * kMoveWorth) return false;
  }
  return any;
}

void Fleet::consolidate(const std::function<bool(const Machine&)>& spare) {
  if (!settled_ || !election_.entitled() || !demand_.empty()) return;
  std::vector<std::string> machine_ids, job_ids;
  const auto s = snapshot(machine_ids, job_ids);
  if (!s.jobs.empty()) return;
  std::vector<const sched::PlanMachine*> by_price;
  for (const auto& m : s.machines) by_price.push_back(&m);
  std::sort(by_price.begin(), by_price.end(), [](const auto* a, const auto* b) {
    return std::pair(a->price(), a->ref) > std::pair(b->price(), b->ref);
  });
  for (const auto* from : by_price) {
    Machine& m = *machines_.find(machine_ids[from->ref]);
    if (from->empty() || !can_move(m) || !spare(m)) continue;
    auto others = s.machines;
    bool fits = true;
    for (const auto& [key, o] : m.occupants) {
      if (!o.holds_room() || o.job->checkpoint.count() <= 0) continue;
      bool placed = false;
      for (auto& to : others) {
        if (to.ref == from->ref || to.empty() || to.price() > from->price()) continue;
        if (!sched::allowed_on(*o.job, to) || !sched::fits(*o.job, to.free)) continue;
        if (o.job->one_zone || o.job->spread) continue;
        to.free.add(*o.job, -1);
        placed = true;
        break;
      }
      fits = fits && placed;
    }
    if (!fits) continue;
    log::info("machine {} is emptied: others have room for its tasks", m.id);
    m.draining = true;
    for (auto& [key, o] : m.occupants) {
      if (o.holds_room() && o.job->checkpoint.count() > 0) {
        stop_occupant(o, o.job->save + Seconds(settings_.gang_peer));
      }
    }
    return;
  }
}

void Fleet::machine_gone(const std::string& id) {
  Machine* m = machines_.find(id);
  if (m == nullptr) return;
  Events events;
  machines_.clear(*m, events);
  m->silent = true;
  handle(*m, events);
  machines_.erase(id);
  check_settled();
}

}  // namespace asterstair::fleet
