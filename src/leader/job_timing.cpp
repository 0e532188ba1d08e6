#include "leader/job_timing.hpp"

#include <algorithm>

namespace asterstair::leader {
namespace {

// Slack in seconds of a new job without deadline or objective. The job's age is subtracted from it,
// so that such jobs are ordered by age.
constexpr double kNoObjectiveSlack = 3600;

/// Combines the slacks to several objectives: the result is the smallest that is not negative, else
/// the negative one that is closest to zero.
class SlackCollector {
 public:
  explicit SlackCollector(double age) : attainable_(kNoObjectiveSlack - age) {}

  void add(double slack) {
    if (slack >= 0) {
      attainable_ = any_attainable_ ? std::min(attainable_, slack) : slack;
      any_attainable_ = true;
    } else {
      missed_ = std::max(missed_, slack);
    }
  }
  double result() const {
    const bool none_missed = missed_ == -kNoObjectiveSlack;
    return any_attainable_ || none_missed ? attainable_ : missed_;
  }

 private:
  bool any_attainable_ = false;
  double attainable_;
  double missed_ = -kNoObjectiveSlack;
};

}  // namespace

Seconds JobTiming::age(const cluster::Job& job) const {
  return std::max(Seconds(0), Seconds(context_.runtime.wall() - job.accepted));
}

Seconds JobTiming::remaining(const cluster::Job& job) const {
  double saved = 0;
  if (job.spec->tasks == 1 && !job.saved_seconds.empty()) {
    saved = job.saved_seconds.begin()->second;
  }
  return std::max(Seconds(1), job.spec->estimate - Seconds(saved));
}

double JobTiming::slack(const cluster::Job& job, Seconds remaining) const {
  const double age = this->age(job).count();
  SlackCollector slack(age);
  if (job.spec->deadline) slack.add(job.spec->deadline->count() - age - remaining.count());
  for (const auto& objective : context_.settings.objectives) {
    if (objective.job_class != job.spec->job_class) continue;
    if (objective.kind == "finished") {
      slack.add(objective.within.count() - age - remaining.count());
    }
    if (objective.kind == "wait" && !job.first_task_started) {
      slack.add(objective.within.count() - age);
    }
  }
  return slack.result();
}

}  // namespace asterstair::leader
