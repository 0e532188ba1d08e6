#include "leader/live_jobs.hpp"

#include "base/log.hpp"
#include "store/records.hpp"

namespace asterstair::leader {
namespace {

using cluster::Job;
using cluster::Machine;
using cluster::TaskAttempt;

// Confirmed cancellations that the watch may still report as live: while anything is started, it is
// seconds late at most.
constexpr std::size_t kMaxCancelled = 20000;

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
    // The arrival of jobs that are found when a term begins is not known: they count as new.
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

// Tasks that are left serve nobody. They are told directly as well: an image may arrive before the
// next heartbeat, and a machine that is unreachable or hangs carries the command out later.
void LiveJobs::stop_tasks(const Job& job) {
  std::vector<DirectCommand> commands;
  for (const auto& [index, assignment] : job.assignments) {
    Machine* machine = cluster_.machines.find(assignment.machine);
    if (machine == nullptr) continue;
    TaskAttempt* attempt = machine->find_attempt({job.spec->id, index}, assignment.attempt);
    if (attempt == nullptr) continue;
    machine->request_stop(*attempt, Seconds(0));
    if (attempt->phase == TaskAttempt::Phase::Observed ||
        attempt->phase == TaskAttempt::Phase::Dispatched) {
      commands.push_back({machine->id, {Command::Op::Stop, attempt->task, assignment.attempt}});
    }
  }
  direct_commands_.send(commands);
}

void LiveJobs::cancel(const std::string& id) {
  if (!cancelled_.insert(id).second) return;
  cancelled_in_order_.push_back(id);
  if (cancelled_in_order_.size() > kMaxCancelled) {
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
