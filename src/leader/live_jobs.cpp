#include "leader/live_jobs.hpp"

#include "base/log.hpp"
#include "store/records.hpp"

namespace asterstair::leader {
namespace {

using cluster::Job;
using cluster::Machine;
using cluster::TaskAttempt;

// Number of jobs with a confirmed cancellation that are remembered, because the watch may still
// report them as live. While tasks are started, the watch is only seconds behind, so the newest are
// enough.
constexpr std::size_t kMaxCancelledIds = 20000;

}  // namespace

void LiveJobs::add(const wire::Item& record) {
  try {
    auto live = store::decode_live(*record.value);
    if (cancelled_.count(live.job.id) != 0) return;
    const bool known = cluster_.jobs.find(live.job.id) != nullptr;
    const Job& job = cluster_.jobs.add(std::move(live.job), record.version, live.accepted);
    if (known) return;
    log::debug("job {} of {}: {} tasks, age {:.1f} s", job.spec->id, job.spec->job_class,
               job.spec->tasks, timing_.age(job).count());
    trigger_.request();
    // Jobs that are found when a term begins count as new: the time of their arrival is not known.
    const double slack = timing_.slack(job, timing_.remaining(job));
    arrivals_.push_back({context_.now(), job.spec, slack});
  } catch (const wire::DecodeError& error) {
    log::error("live record {} is malformed: {}", record.key, error.what());
  }
}

void LiveJobs::end(const std::string& id) {
  const Job* job = cluster_.jobs.find(id);
  if (job == nullptr) return;
  stop_tasks(*job);
  log::info("job {} of {} ended after {:.1f} s, {} of {} tasks done", id, job->spec->job_class,
            timing_.age(*job).count(), job->done_count, job->spec->tasks);
  const auto chunks = store::progress_chunk_count(job->spec->tasks, context_.settings.value_bytes);
  for (std::size_t chunk = 0; chunk < chunks; ++chunk) {
    writer_.forget(store::progress_key(id, chunk));
  }
  cluster_.jobs.erase(id);
  trigger_.request();
}

// Stops the remaining tasks of a job that has ended, whose results are not needed. Also sends
// direct commands: a task may start running before the next heartbeat if its image arrives, and a
// machine that is unreachable or hangs can carry out a direct command later.
void LiveJobs::stop_tasks(const Job& job) {
  std::vector<DirectStop> stops;
  for (const auto& [index, assignment] : job.assignments) {
    Machine* machine = cluster_.machines.find(assignment.machine);
    if (machine == nullptr) continue;
    TaskAttempt* attempt = machine->find_attempt({job.spec->id, index}, assignment.attempt);
    if (attempt == nullptr) continue;
    machine->request_stop(*attempt, Seconds(0));
    if (attempt->phase == TaskAttempt::Phase::Observed ||
        attempt->phase == TaskAttempt::Phase::Dispatched) {
      stops.push_back({machine->id, attempt->task, assignment.attempt});
    }
  }
  direct_commands_.send(stops);
}

void LiveJobs::cancel(const std::string& id) {
  if (!cancelled_.insert(id).second) return;
  cancelled_in_order_.push_back(id);
  if (cancelled_in_order_.size() > kMaxCancelledIds) {
    cancelled_.erase(cancelled_in_order_.front());
    cancelled_in_order_.pop_front();
  }
  end(id);
}

void LiveJobs::expire_arrivals() {
  while (!arrivals_.empty() && context_.now() - arrivals_.front().at > kArrivalWindow) {
    arrivals_.pop_front();
  }
}

}  // namespace asterstair::leader
