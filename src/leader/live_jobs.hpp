#pragma once
/// @file
/// The live jobs of a term: those that are accepted and neither done nor cancelled.

#include <deque>
#include <set>
#include <string>

#include "cluster/cluster_state.hpp"
#include "leader/direct_command_dispatcher.hpp"
#include "leader/fenced_writer.hpp"
#include "leader/job_timing.hpp"
#include "leader/scheduling_trigger.hpp"
#include "leader/term_context.hpp"

namespace asterstair::leader {

/// How long arrivals of jobs are kept.
inline constexpr Duration kArrivalWindow = 90s;

/// The arrival of a job.
struct Arrival {
  /// When this leader first saw the job's live record.
  TimePoint at{};
  /// The job's description.
  JobSpecPtr job;
  double slack = 0;  ///< on arrival, see JobTiming::slack
};

/// Adds jobs to the job table, and removes them and stops their remaining tasks when they end.
/// Owned by Term.
class LiveJobs {
 public:
  /// All references outlive this object.
  LiveJobs(const TermContext& context, cluster::ClusterState& cluster, const JobTiming& timing,
           DirectCommandDispatcher& direct_commands, FencedWriter& writer,
           SchedulingTrigger& trigger)
      : context_(context),
        cluster_(cluster),
        timing_(timing),
        direct_commands_(direct_commands),
        writer_(writer),
        trigger_(trigger) {}

  /// Adds the job of a live record, unless its cancellation has been confirmed.
  void add(const wire::Item& record);
  /// Removes the job, whose live record has been deleted because it is done or cancelled.
  void end(const std::string& id);
  /// Removes the job, whose cancellation a node has confirmed. The watch may report it later, or
  /// not at all.
  void cancel(const std::string& id);

  /// Jobs that were added within kArrivalWindow, oldest first.
  const std::deque<Arrival>& arrivals() const { return arrivals_; }
  /// Drops arrivals that are older than kArrivalWindow.
  void expire_arrivals();

 private:
  void stop_tasks(const cluster::Job& job);

  const TermContext& context_;
  cluster::ClusterState& cluster_;
  const JobTiming& timing_;
  DirectCommandDispatcher& direct_commands_;
  FencedWriter& writer_;
  SchedulingTrigger& trigger_;
  std::set<std::string> cancelled_;  // the newest kMaxCancelledIds
  std::deque<std::string> cancelled_in_order_;
  std::deque<Arrival> arrivals_;
};

}  // namespace asterstair::leader
