#include "frontend/frontend.hpp"

#include "frontend/admission.hpp"
#include "frontend/responses.hpp"
#include "store/records.hpp"
#include "wire/user.hpp"

namespace asterstair::frontend {
namespace {

HttpResponse final_response(const std::string& id, const store::FinalRecord& record) {
  if (record.cancelled) return {200, wire::encode_status(id, JobStage::Cancelled, 0, 0)};
  return {200, wire::encode_status(id, JobStage::Done, record.tasks, 0)};
}

}  // namespace

Frontend::Frontend(Runtime& runtime, store::Store& store, const Settings& settings,
                   const cloud::Catalog& catalog, OnCancelled on_cancelled)
    : runtime_(runtime),
      store_(store),
      settings_(settings),
      catalog_(catalog),
      on_cancelled_(std::move(on_cancelled)),
      jobs_(runtime, store),
      canceller_(store, settings, jobs_) {}

HttpResponse Frontend::state_response(const std::string& id, const JobState& state,
                                      HttpResponse if_absent) const {
  switch (state.outcome) {
    case JobState::Outcome::Live:
      return live_response(id);
    case JobState::Outcome::Final:
      return final_response(id, state.final);
    case JobState::Outcome::Absent:
      return if_absent;
    case JobState::Outcome::Unavailable:
      break;
  }
  return store_unavailable_response();
}

HttpResponse Frontend::live_response(const std::string& id) const {
  const auto known = counts_.find(id);
  const Counts counts = known == counts_.end() ? Counts{} : known->second;
  const auto stage = counts.running > 0 ? JobStage::Running : JobStage::Queued;
  return {200, wire::encode_status(id, stage, counts.done, counts.running)};
}

void Frontend::respond_with_state(const std::string& id, const HttpCallback& respond,
                                  HttpResponse if_absent) {
  jobs_.find(id, [this, id, respond, if_absent = std::move(if_absent)](const JobState& state) {
    respond(state_response(id, state, if_absent));
  });
}

void Frontend::status(const std::string& id, const HttpCallback& respond) {
  if (!wire::valid_job_id(id)) {
    respond(unknown_job_response());
    return;
  }
  respond_with_state(id, respond, unknown_job_response());
}

void Frontend::submit(const std::string& body, const HttpCallback& respond) {
  const auto decision = decide_admission(body, settings_, catalog_);
  if (!decision.rejection) {
    accept(decision.job, respond);
  } else if (decision.id.empty()) {
    respond(*decision.rejection);
  } else {
    // A retried submission of an existing job is never rejected, whatever its other fields contain.
    respond_with_state(decision.id, respond, *decision.rejection);
  }
}

// The conditions make submissions idempotent: the job is created only if its ID is new.
void Frontend::accept(const JobSpec& job, const HttpCallback& respond) {
  const std::string id = job.id;
  auto value = store::encode_live(job, runtime_.wall());
  if (wire::dump(value).size() > settings_.value_bytes) {
    respond(error_response(400, "the description is too long"));
    return;
  }
  wire::Txn txn;
  txn.conditions = {{store::live_key(id), 0}, {store::final_key(id), 0}};
  txn.changes = {{store::live_key(id), std::move(value)}};
  store_.write(std::move(txn), store::Urgency::User,
               [this, id, respond](const store::WriteResult& result) {
                 switch (result.outcome) {
                   case store::WriteOutcome::Committed:
                     respond({201, wire::encode_status(id, JobStage::Queued)});
                     return;
                   case store::WriteOutcome::NotApplied:
                     respond(store_unavailable_response());
                     return;
                   case store::WriteOutcome::Conflict:
                   case store::WriteOutcome::Unknown:
                     // The job already exists, or the write may have been applied. Reading the
                     // record determines which.
                     respond_with_state(id, respond, store_unavailable_response());
                     return;
                 }
               });
}

void Frontend::cancel(const std::string& id, const HttpCallback& respond) {
  if (!wire::valid_job_id(id)) {
    respond(unknown_job_response());
    return;
  }
  canceller_.cancel(id, [this, id, respond](CancelOutcome outcome, const JobState& state) {
    switch (outcome) {
      case CancelOutcome::Cancelled:
        on_cancelled_(id);
        respond({200, wire::encode_status(id, JobStage::Cancelled)});
        return;
      case CancelOutcome::NotLive:
        // An earlier request, possibly to another node, cancelled the job. The notification of that
        // cancellation may have been lost, so it is repeated.
        if (state.outcome == JobState::Outcome::Final && state.final.cancelled) on_cancelled_(id);
        respond(state_response(id, state, unknown_job_response()));
        return;
      case CancelOutcome::Unavailable:
        respond(store_unavailable_response());
        return;
    }
  });
}

}  // namespace asterstair::frontend
