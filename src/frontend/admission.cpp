#include "frontend/admission.hpp"

#include "base/amounts.hpp"
#include "frontend/responses.hpp"
#include "wire/user.hpp"

namespace asterstair::frontend {
namespace {

// Returns whether the need exceeds the limit. A limit of 0 means no limit.
bool exceeds(double needed, double limit) { return limit > 0 && !covers(limit, needed); }

// Returns whether the job can never run within its team's limit. A gang needs resources for all its
// tasks at once, any other job for at least one task.
bool exceeds_limit(const JobSpec& job, const TeamSettings& team) {
  const double tasks_at_once = job.gang() ? job.tasks : 1;
  return exceeds(job.cpus * tasks_at_once, team.cpus_max) ||
         exceeds(job.gpus * tasks_at_once, team.gpus_max);
}

std::optional<HttpResponse> find_rejection(const JobSpec& job, const Settings& settings,
                                           const cloud::Catalog& catalog) {
  const auto team = settings.teams.find(job.team);
  if (team == settings.teams.end()) return error_response(422, "unknown team");
  if (exceeds_limit(job, team->second)) {
    return error_response(422, "the job needs more than its team's limit");
  }
  if (!catalog.known()) return retry_later_response("the machine types are not known yet");
  if (!catalog.can_hold(job)) return error_response(422, "a task fits no allowed machine type");
  return std::nullopt;
}

}  // namespace

AdmissionDecision decide_admission(const std::string& body, const Settings& settings,
                                   const cloud::Catalog& catalog) {
  AdmissionDecision decision;
  try {
    const auto json = wire::parse(body);
    decision.id = wire::job_id_of(json);
    decision.job = wire::decode_job(json);
    decision.rejection = find_rejection(decision.job, settings, catalog);
  } catch (const wire::DecodeError& error) {
    decision.rejection = error_response(400, error.what());
  }
  return decision;
}

}  // namespace asterstair::frontend
