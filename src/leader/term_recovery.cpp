// How a term begins and follows the live jobs: what earlier leaders left in the state service, then
// the watch on it, until every machine that may hold tasks has been heard from.

#include <algorithm>

#include "base/log.hpp"
#include "leader/term.hpp"
#include "store/records.hpp"

namespace asterstair::leader {
namespace {

// Jobs confirmed as cancelled that the watch may yet tell of as live; it is seconds late at most
// while anything is started.
constexpr std::size_t kMostCancelled = 20000;

}  // namespace

void Term::reload_later() {
  runtime_.after(300ms, [self = weak_from_this()] {
    if (const auto f = self.lock(); f && f->alive()) f->load();
  });
}

void Term::load() {
  const auto asked = runtime_.now();
  store_.list(store::kLivePrefix, [self = weak_from_this(), asked](const store::ListResult& r) {
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
    f->view_requested_at_ = asked;
    if (f->recovered_) {
      f->watch(r.revision, f->watch_wait_);
    } else {
      f->load_progress();
    }
  });
}

void Term::load_progress() {
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
        store::decode_progress_chunk(*item.value, key->second, f->settings_.value_bytes, job->done);
      } catch (const wire::DecodeError& e) {
        log::error("progress of {} is malformed: {}", key->first, e.what());
      }
      job->durable = job->done;
      job->begun = job->begun_before = true;
    }
    for (auto& [id, job] : f->jobs_.all()) {
      job.done_count =
          static_cast<std::uint32_t>(std::count(job.done.begin(), job.done.end(), true));
      // Where tasks of jobs that an earlier leader began may be is known once settled.
      if (job.begun_before) {
        job.waiting.clear();
      } else {
        JobTable::rebuild_waiting(job);
      }
    }
    f->load_registry();
  });
}

void Term::load_registry() {
  store_.list(store::kMachineRegistryPrefix, [self = weak_from_this()](const store::ListResult& r) {
    const auto f = self.lock();
    if (!f || !f->alive()) return;
    if (!r.ok) {
      f->reload_later();
      return;
    }
    f->registry_.clear();
    for (const auto& item : r.items) f->add_registry_chunk(item);
    f->registry_stale_ = true;
    f->registry_loaded_ = true;
    f->finish_loading();
  });
}

void Term::add_registry_chunk(const wire::Item& item) {
  versions_[item.key] = item.version;
  std::set<std::string> chunk;
  try {
    for (auto& m : store::decode_machine_registry(*item.value)) chunk.insert(std::move(m));
  } catch (const wire::DecodeError& e) {
    log::error("roster is malformed: {}", e.what());
  }
  for (const auto& id : chunk) {
    // The operation log, which may have been read before, tells that it has been returned.
    if (gone_.count(id) != 0) continue;
    Machine& m = machines_.at(id);
    m.id = id;
    m.registered = true;
    if (returning_.count(id) != 0) m.service = Machine::Service::Returning;
    if (!m.reconciled && !m.lease_expired) pending_reconciliation_.insert(id);
    // No earlier leader answers after that; its answers renewed no later.
    if (m.last_answered == TimePoint{}) m.last_answered = previous_leaders_expiry_;
  }
  registry_.push_back(std::move(chunk));
}

void Term::finish_loading() {
  if (recovered_ || !registry_loaded_ || !open_returns_known_) return;
  recovered_ = true;
  log::info("term {}: {} live jobs, {} machines to hear from", token_, jobs_.all().size(),
            machines_.all().size());
  watch(live_revision_, watch_wait_);
  check_reconciled();
}

void Term::watch(std::uint64_t after, Duration wait) {
  // The view is as old as the question: an answer may have been held up on its way.
  const auto asked = runtime_.now();
  store_.watch(store::kLivePrefix, after, wait,
               [self = weak_from_this(), after, asked](const store::WatchResult& r) {
                 const auto f = self.lock();
                 if (!f || !f->alive()) return;
                 if (r.outcome == store::WatchResult::Outcome::TooOld) {
                   f->load();
                   return;
                 }
                 if (r.outcome == store::WatchResult::Outcome::Unavailable) {
                   // Answered at once when it is: what was missed meanwhile is wanted now.
                   f->runtime_.after(200ms, [self, after] {
                     if (const auto g = self.lock(); g && g->alive()) g->watch(after, 0s);
                   });
                   return;
                 }
                 f->view_requested_at_ = std::max(f->view_requested_at_, asked);
                 for (const auto& item : r.events.items) {
                   if (item.value) {
                     f->add_live(item);
                   } else {
                     f->job_ended(item.key.substr(std::string_view(store::kLivePrefix).size()));
                   }
                 }
                 f->watch(std::max(after, r.events.revision), f->watch_wait_);
               });
}

void Term::add_live(const wire::Item& item) {
  try {
    auto record = store::decode_live(*item.value);
    if (cancelled_.count(record.job.id) != 0) return;
    const bool known = jobs_.find(record.job.id) != nullptr;
    Job& job = jobs_.add(std::move(record.job), item.version, record.accepted);
    if (!known) {
      log::debug("job {} of {}: {} tasks, age {:.1f} s", job.spec->id, job.spec->job_class,
                 job.spec->tasks, age_of(job).count());
      plan_wanted_ = true;
      // Of jobs found when a term begins the arrival is not known; they count as new.
      arrivals_.push_back({runtime_.now(), job.spec, slack_of(job, remaining_of(job))});
    }
  } catch (const wire::DecodeError& e) {
    log::error("live record {} is malformed: {}", item.key, e.what());
  }
}

void Term::job_ended(const std::string& id) {
  const Job* job = jobs_.find(id);
  if (job == nullptr) return;
  // Whatever of it is left serves nobody: stopped at once, and cleared when it has ended. Told
  // directly too: an image may arrive before the next heartbeat, a machine may be out of hearing or
  // hang, and then carries the command out as it goes on.
  DirectStops direct;
  for (const auto& [index, assignment] : job->assignments) {
    Machine* m = machines_.find(assignment.machine);
    if (m == nullptr) continue;
    TaskAttempt* o = m->find_attempt({id, index}, assignment.attempt);
    if (o == nullptr) continue;
    stop_attempt(*m, *o, Seconds(0));
    if (o->phase == TaskAttempt::Phase::Observed || o->phase == TaskAttempt::Phase::Dispatched) {
      direct.emplace_back(m->id, Command{Command::Op::Stop, o->task, assignment.attempt});
    }
  }
  send_direct(direct);
  log::info("job {} of {} ended after {:.1f} s, {} of {} tasks done", id, job->spec->job_class,
            age_of(*job).count(), job->done_count, job->spec->tasks);
  const auto chunks = store::progress_chunk_count(job->spec->tasks, settings_.value_bytes);
  for (std::size_t c = 0; c < chunks; ++c) versions_.erase(store::progress_key(id, c));
  jobs_.erase(id);
  plan_wanted_ = true;
}

void Term::cancelled(const std::string& id) {
  if (!cancelled_.insert(id).second) return;
  cancelled_order_.push_back(id);
  if (cancelled_order_.size() > kMostCancelled) {
    cancelled_.erase(cancelled_order_.front());
    cancelled_order_.pop_front();
  }
  job_ended(id);
}

void Term::check_reconciled() {
  if (reconciled_ || !recovered_ || !pending_reconciliation_.empty()) return;
  reconciled_ = true;
  for (auto& [id, job] : jobs_.all()) {
    if (job.begun_before) JobTable::rebuild_waiting(job);
  }
  plan_wanted_ = true;
  log::info("term {}: settled after {:.1f} s", token_, seconds(runtime_.now() - elected_at_));
}

}  // namespace asterstair::leader
