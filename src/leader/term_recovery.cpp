#include "leader/term_recovery.hpp"

#include <algorithm>
#include <string_view>
#include <vector>

#include "base/log.hpp"
#include "store/records.hpp"

namespace asterstair::leader {
namespace {

using cluster::Job;
using cluster::JobTable;
using cluster::Machine;

constexpr auto kReloadDelay = 300ms;  // after a read that failed
constexpr auto kWatchRetry = 200ms;   // after a watch that failed
constexpr Duration kMaxWatchWait = 5s;
// Number of watches that fit into the staleness bound, so that the view stays fresh if one is lost.
constexpr int kWatchesPerStalenessBound = 3;

std::string job_of_live_key(const std::string& key) {
  return key.substr(std::string_view(store::kLivePrefix).size());
}

}  // namespace

TermRecovery::TermRecovery(const TermContext& context, cluster::ClusterState& cluster,
                           LiveJobs& live_jobs, MachineRegistry& registry,
                           const ReturnedMachines& returned, FencedWriter& writer,
                           SchedulingTrigger& trigger)
    : context_(context),
      cluster_(cluster),
      live_jobs_(live_jobs),
      registry_(registry),
      returned_(returned),
      writer_(writer),
      trigger_(trigger),
      max_view_staleness_(max_view_staleness(context.settings)),
      watch_wait_(
          std::min<Duration>(kMaxWatchWait, max_view_staleness_ / kWatchesPerStalenessBound)) {}

bool TermRecovery::view_is_fresh() const {
  return recovered_ && context_.now() - view_requested_at_ < max_view_staleness_;
}

void TermRecovery::reload_later() {
  context_.runtime.after(kReloadDelay, context_.while_alive([this] { load_live_jobs(); }));
}

void TermRecovery::load_live_jobs() {
  auto on_result = [this, requested_at = context_.now()](const store::ListResult& result) {
    on_live_jobs(result, requested_at);
  };
  context_.store.list(store::kLivePrefix, context_.while_alive(std::move(on_result)));
}

void TermRecovery::on_live_jobs(const store::ListResult& result, TimePoint requested_at) {
  if (!result.ok) {
    reload_later();
    return;
  }
  std::set<std::string> live;
  for (const auto& item : result.items) {
    live.insert(job_of_live_key(item.key));
    live_jobs_.add(item);
  }
  // A repeated list no longer contains the jobs that ended while no watch was open.
  std::vector<std::string> ended;
  for (const auto& [id, job] : cluster_.jobs.all()) {
    if (live.count(id) == 0 && job.version <= result.revision) ended.push_back(id);
  }
  for (const auto& id : ended) live_jobs_.end(id);
  live_revision_ = result.revision;
  view_requested_at_ = requested_at;
  if (recovered_) {
    watch(result.revision, watch_wait_);
  } else {
    load_progress();
  }
}

void TermRecovery::load_progress() {
  auto on_result = [this](const store::ListResult& result) { on_progress(result); };
  context_.store.list(store::kProgressPrefix, context_.while_alive(std::move(on_result)));
}

void TermRecovery::on_progress(const store::ListResult& result) {
  if (!result.ok) {
    reload_later();
    return;
  }
  for (const auto& item : result.items) load_job_progress(item);
  rebuild_waiting_tasks();
  load_registry();
}

void TermRecovery::load_job_progress(const wire::Item& item) {
  const auto key = store::parse_progress_key(item.key);
  if (!key) return;
  const auto& [id, chunk] = *key;
  Job* job = cluster_.jobs.find(id);
  if (job == nullptr) {
    remove_orphaned_progress(item.key, id);
    return;
  }
  writer_.set_version(item.key, item.version);
  try {
    store::decode_progress_chunk(*item.value, chunk, context_.settings.value_bytes, job->done);
  } catch (const wire::DecodeError& error) {
    // The job must go on. Its tasks in this chunk run again, and the chunk is written anew.
    log::error("progress record {} is malformed, a copy is kept under {}: {}", item.key,
               store::unreadable_copy_key(item.key), error.what());
    writer_.preserve(item.key, *item.value);
  }
  job->durable = job->done;
  job->start_record = Job::StartRecord::Durable;
  job->started_by_previous_leader = true;
}

// Deletes a progress record whose job is not in the list of live jobs. Either the job was cancelled
// and had more chunks than one transaction can delete, or the job was accepted after the list was
// read. The condition that no live record exists keeps the record in the second case.
void TermRecovery::remove_orphaned_progress(const std::string& key, const std::string& job) {
  wire::Txn sweep;
  sweep.conditions = {context_.election.guard(), {store::live_key(job), 0}};
  sweep.changes = {{key, std::nullopt}};
  context_.store.write(std::move(sweep), store::Urgency::Lazy, [](const store::WriteResult&) {});
}

// Tasks of jobs that an earlier leader started may be running on any machine until the term is
// reconciled, so they are not added to the waiting tasks before then.
void TermRecovery::rebuild_waiting_tasks() {
  for (auto& [id, job] : cluster_.jobs.all()) {
    const auto done = std::count(job.done.begin(), job.done.end(), true);
    job.done_count = static_cast<std::uint32_t>(done);
    if (job.started_by_previous_leader) {
      job.waiting.clear();
    } else {
      JobTable::rebuild_waiting(job);
    }
  }
}

void TermRecovery::load_registry() {
  auto on_result = [this](const store::ListResult& result) { on_registry(result); };
  context_.store.list(store::kMachineRegistryPrefix, context_.while_alive(std::move(on_result)));
}

void TermRecovery::on_registry(const store::ListResult& result) {
  if (!result.ok) {
    reload_later();
    return;
  }
  for (const auto& name : registry_.load(result.items)) adopt_registered(name);
  registry_loaded_ = true;
  if (!registry_.complete()) {
    log::info(
        "term {}: the machine registry may be incomplete; reconciled in {:.1f} s at the earliest",
        context_.token,
        seconds(context_.worker_lease_expiry(context_.previous_leaders_expiry) - context_.now()));
  }
  finish_recovery();
}

void TermRecovery::adopt_registered(const std::string& name) {
  // The operation log may have been read already, and may show that the machine was returned.
  if (returned_.terminated(name)) return;
  Machine& machine = cluster_.machines.at(name);
  machine.id = name;
  machine.registered = true;
  if (returned_.returning(name)) machine.service = Machine::Service::Returning;
  if (!machine.reconciled && !machine.lease_expired) unreconciled_.insert(name);
  // Earlier leaders send no responses after this time, so it is an upper bound of the last renewal
  // of the worker's lease.
  if (machine.latest_possible_renewal == TimePoint{}) {
    machine.latest_possible_renewal = context_.previous_leaders_expiry;
  }
}

void TermRecovery::on_open_returns_known() {
  open_returns_known_ = true;
  finish_recovery();
}

void TermRecovery::finish_recovery() {
  if (recovered_ || !registry_loaded_ || !open_returns_known_) return;
  recovered_ = true;
  log::info("term {}: recovered {} live jobs, {} machines to reconcile", context_.token,
            cluster_.jobs.all().size(), cluster_.machines.all().size());
  watch(live_revision_, watch_wait_);
  check_reconciled();
}

// Whether a machine that this leader does not know may have tasks.
bool TermRecovery::may_miss_machines() const {
  return !registry_.complete() && !context_.worker_lease_expired(context_.previous_leaders_expiry);
}

bool TermRecovery::awaits_confirmation() const {
  return !reconciled_ && recovered_ && may_miss_machines() &&
         context_.worker_lease_timed_out(context_.previous_leaders_expiry);
}

// The response to the heartbeat may renew the machine's lease, so that it outlasts
// those that earlier leaders renewed.
void TermRecovery::on_unlisted_machine(const std::string& machine) {
  if (!reconciled_ && may_miss_machines()) unreconciled_.insert(machine);
}

void TermRecovery::check_reconciled() {
  if (reconciled_ || !recovered_ || !unreconciled_.empty() || may_miss_machines()) return;
  reconciled_ = true;
  registry_.confirm_complete();
  for (auto& [id, job] : cluster_.jobs.all()) {
    if (job.started_by_previous_leader) JobTable::rebuild_waiting(job);
  }
  trigger_.request();
  log::info("term {}: reconciled after {:.1f} s", context_.token,
            seconds(context_.now() - context_.elected_at));
}

// The age of a view counts from its request, because the response may be delayed in transit.
void TermRecovery::watch(std::uint64_t after, Duration wait) {
  auto on_result = [this, after, requested_at = context_.now()](const store::WatchResult& result) {
    on_watch(result, after, requested_at);
  };
  context_.store.watch(store::kLivePrefix, after, wait, context_.while_alive(std::move(on_result)));
}

void TermRecovery::on_watch(const store::WatchResult& result, std::uint64_t after,
                            TimePoint requested_at) {
  if (result.outcome == store::WatchResult::Outcome::TooOld) {
    load_live_jobs();
    return;
  }
  if (result.outcome == store::WatchResult::Outcome::Unavailable) {
    // The next watch returns at once, to deliver the events that were missed without delay.
    context_.runtime.after(kWatchRetry, context_.while_alive([this, after] { watch(after, 0s); }));
    return;
  }
  view_requested_at_ = std::max(view_requested_at_, requested_at);
  for (const auto& item : result.events.items) {
    if (item.value) {
      live_jobs_.add(item);
    } else {
      live_jobs_.end(job_of_live_key(item.key));
    }
  }
  watch(std::max(after, result.events.revision), watch_wait_);
}

}  // namespace asterstair::leader
