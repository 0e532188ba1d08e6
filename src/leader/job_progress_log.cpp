#include "leader/job_progress_log.hpp"

#include <algorithm>
#include <memory>

#include "store/records.hpp"

namespace asterstair::leader {
namespace {

using cluster::Job;

// Minimum time between two writes of a job's progress. Progress that a failed leader has not
// written is lost, and the tasks run again.
constexpr auto kFlushInterval = 3s;

}  // namespace

void JobProgressLog::record_starts() {
  for (auto& [id, job] : jobs_.all()) {
    if (job.start_record == Job::StartRecord::Absent) record_start(job);
  }
}

void JobProgressLog::record_start(Job& job) {
  job.start_record = Job::StartRecord::Writing;
  const std::string& id = job.spec->id;
  wire::Txn txn;
  txn.conditions = {{store::live_key(id), job.version}};
  txn.changes = {{store::progress_key(id, 0),
                  store::encode_progress_chunk(job.done, 0, context_.settings.value_bytes)}};
  writer_.write(std::move(txn), store::Urgency::TaskStart, [this, id](bool committed) {
    Job* written = jobs_.find(id);
    if (written == nullptr) return;
    written->start_record = committed ? Job::StartRecord::Durable : Job::StartRecord::Absent;
  });
}

void JobProgressLog::flush() {
  const auto now = context_.now();
  for (auto& [id, job] : jobs_.all()) {
    if (job.all_done()) {
      complete(job);
    } else if (!job.dirty_chunks.empty() && now - job.last_flush > kFlushInterval) {
      write_progress(job);
    }
  }
}

void JobProgressLog::write_progress(Job& job) {
  if (job.progress_write_in_flight || job.completion_write_in_flight) return;
  job.progress_write_in_flight = true;
  job.last_flush = context_.now();
  const std::string& id = job.spec->id;
  wire::Txn txn;
  txn.conditions = {{store::live_key(id), job.version}};
  std::set<std::size_t> chunks;
  std::size_t changes = 0;
  for (const auto chunk : job.dirty_chunks) {
    const auto key = store::progress_key(id, chunk);
    changes += writer_.changes_per_write(key);
    if (changes > context_.settings.txn_ops) break;
    txn.changes.push_back(
        {key, store::encode_progress_chunk(job.done, chunk, context_.settings.value_bytes)});
    chunks.insert(chunk);
  }
  for (const auto chunk : chunks) job.dirty_chunks.erase(chunk);
  auto written = std::make_shared<const std::vector<bool>>(job.done);
  writer_.write(std::move(txn), store::Urgency::Lazy, [this, id, chunks, written](bool committed) {
    Job* flushed = jobs_.find(id);
    if (flushed == nullptr) return;
    flushed->progress_write_in_flight = false;
    if (committed) {
      mark_durable(*flushed, chunks, *written);
    } else {
      flushed->dirty_chunks.insert(chunks.begin(), chunks.end());
    }
  });
}

void JobProgressLog::mark_durable(Job& job, const std::set<std::size_t>& chunks,
                                  const std::vector<bool>& written) const {
  const auto tasks_per_chunk = store::tasks_per_progress_chunk(context_.settings.value_bytes);
  for (const auto chunk : chunks) {
    const auto end = std::min<std::size_t>((chunk + 1) * tasks_per_chunk, written.size());
    for (std::size_t task = chunk * tasks_per_chunk; task < end; ++task) {
      if (written[task]) job.durable[task] = true;
    }
  }
}

void JobProgressLog::complete(Job& job) {
  if (job.completion_write_in_flight || !context_.election.lease_valid()) return;
  job.completion_write_in_flight = true;
  auto txn = store::make_end_job_txn(*job.spec, job.version, false, context_.settings.value_bytes,
                                     context_.settings.txn_ops);
  txn.conditions.push_back(context_.election.guard());
  auto on_result = [this, id = job.spec->id](const store::WriteResult& result) {
    Job* completed = jobs_.find(id);
    if (completed == nullptr) return;
    completed->completion_write_in_flight = false;
    // After a failure, the next flush retries unless the watch reports that the job is cancelled.
    if (result.outcome == store::WriteOutcome::Committed) on_completed_(id);
  };
  context_.store.write(std::move(txn), store::Urgency::JobEnd,
                       context_.while_alive(std::move(on_result)));
}

}  // namespace asterstair::leader
