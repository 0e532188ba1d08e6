#pragma once
/// @file
/// Makes the progress and the end of jobs durable.

#include <functional>
#include <set>
#include <string>

#include "cluster/job_table.hpp"
#include "leader/fenced_writer.hpp"
#include "leader/term_context.hpp"

namespace asterstair::leader {

/// Writes the progress records of live jobs and, once all tasks are done, the final record. All
/// writes are conditional on the live record, so none succeeds after a cancellation. Owned by Term.
class JobProgressLog {
 public:
  /// \param on_completed receives the id of each job whose final record is durable
  JobProgressLog(const TermContext& context, cluster::JobTable& jobs, FencedWriter& writer,
                 std::function<void(const std::string&)> on_completed)
      : context_(context), jobs_(jobs), writer_(writer), on_completed_(std::move(on_completed)) {}

  /// Writes the first progress record of each job that has none. No task of the job starts before
  /// the record is durable, because it tells later leaders that tasks may be running.
  void record_starts();
  /// Completes jobs whose tasks are all done, and periodically writes the changed progress of the
  /// others.
  void flush();
  /// Writes the final record of a job whose tasks are all done.
  void complete(cluster::Job& job);

 private:
  void record_start(cluster::Job& job);
  void write_progress(cluster::Job& job);
  void mark_durable(cluster::Job& job, const std::set<std::size_t>& chunks,
                    const std::vector<bool>& written) const;

  const TermContext& context_;
  cluster::JobTable& jobs_;
  FencedWriter& writer_;
  std::function<void(const std::string&)> on_completed_;
};

}  // namespace asterstair::leader
