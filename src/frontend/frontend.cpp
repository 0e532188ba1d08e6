#include "frontend/frontend.hpp"

#include "base/log.hpp"
#include "frontend/responses.hpp"
#include "wire/user.hpp"

namespace asterstair::frontend {
namespace {

constexpr std::size_t kMostFinals = 8000;  // final records kept in memory, some 250 bytes each
constexpr int kCancelTries = 4;
constexpr Duration kSecondRead = 250ms;  // at the least; users wait 2 s for both

}  // namespace

Frontend::Frontend(Runtime& runtime, store::Store& store, const Settings& settings,
                   const cloud::Catalog& catalog,
                   std::function<void(const std::string&)> on_cancelled)
    : runtime_(runtime),
      store_(store),
      settings_(settings),
      catalog_(catalog),
      tell_(std::move(on_cancelled)) {}

void Frontend::remember(const std::string& id, const store::FinalRecord& record) {
  if (!finals_.emplace(id, record).second) return;
  finals_order_.push_back(id);
  if (finals_order_.size() > kMostFinals) {
    finals_.erase(finals_order_.front());
    finals_order_.pop_front();
  }
}

void Frontend::look_up(const std::string& id, std::function<void(Found)> done) {
  const auto known = finals_.find(id);
  if (known != finals_.end()) {
    done({Found::Outcome::Final, {}, 0, known->second});
    return;
  }
  // Live before final: a job that ends in between is found by the second read.
  const auto asked = runtime_.now();
  store_.get(
      store::live_key(id), [this, id, asked, done = std::move(done)](const store::ReadResult& r) {
        if (r.outcome == store::ReadOutcome::Found) {
          Found found;
          try {
            found = {Found::Outcome::Live, store::decode_live(*r.item.value), r.item.version, {}};
          } catch (const wire::DecodeError& e) {
            log::error("live record of {} is malformed: {}", id, e.what());
          }
          done(std::move(found));
          return;
        }
        if (r.outcome == store::ReadOutcome::Unavailable) {
          done({});
          return;
        }
        store_.get(
            store::final_key(id),
            [this, id, done](const store::ReadResult& f) {
              Found found;
              if (f.outcome == store::ReadOutcome::Missing) found.outcome = Found::Outcome::Absent;
              if (f.outcome == store::ReadOutcome::Found) {
                try {
                  found.final = store::decode_final(*f.item.value);
                  found.outcome = Found::Outcome::Final;
                  remember(id, found.final);
                } catch (const wire::DecodeError& e) {
                  log::error("final record of {} is malformed: {}", id, e.what());
                }
              }
              done(std::move(found));
            },
            std::max<Duration>(kSecondRead,
                               store::kReadTimeout + kSecondRead - (runtime_.now() - asked)));
      });
}

void Frontend::answer_known(const std::string& id, const Found& found, const HttpCallback& respond,
                            HttpResponse if_absent) {
  switch (found.outcome) {
    case Found::Outcome::Unavailable:
      respond(store_unavailable_response());
      return;
    case Found::Outcome::Absent:
      respond(std::move(if_absent));
      return;
    case Found::Outcome::Final: {
      const auto n = found.final.cancelled ? 0 : found.final.tasks;
      respond({200, wire::encode_status(
                        id, found.final.cancelled ? JobStage::Cancelled : JobStage::Done, n, 0)});
      return;
    }
    case Found::Outcome::Live: {
      const auto it = counts_.find(id);
      const auto c = it == counts_.end() ? Counts{} : it->second;
      respond({200, wire::encode_status(id, c.running > 0 ? JobStage::Running : JobStage::Queued,
                                        c.done, c.running)});
      return;
    }
  }
}

void Frontend::status(const std::string& id, const HttpCallback& respond) {
  if (!wire::valid_job_id(id)) {
    respond(unknown_job_response());
    return;
  }
  look_up(id, [this, id, respond](const Found& found) {
    answer_known(id, found, respond, unknown_job_response());
  });
}

void Frontend::submit(const std::string& body, const HttpCallback& respond) {
  std::string id;
  HttpResponse refusal;
  JobSpec job;
  try {
    const auto json = wire::parse(body);
    id = wire::job_id_of(json);
    job = wire::decode_job(json);
    const auto team = settings_.teams.find(job.team);
    const double n = job.gang() ? job.tasks : 1;
    if (team == settings_.teams.end()) {
      refusal = error_response(422, "unknown team");
    } else if ((team->second.cpus_max > 0 && job.cpus * n > team->second.cpus_max + 1e-6) ||
               (team->second.gpus_max > 0 && job.gpus * n > team->second.gpus_max + 1e-6)) {
      refusal = error_response(422, "the job needs more than its team's limit");
    } else if (!catalog_.known()) {
      refusal = retry_later_response("the machine types are not known yet");
    } else if (!catalog_.can_hold(job)) {
      refusal = error_response(422, "a task fits no allowed machine type");
    }
  } catch (const wire::DecodeError& e) {
    refusal = error_response(400, e.what());
  }
  if (refusal.status == 0) {
    accept(job, respond);
    return;
  }
  if (id.empty()) {
    respond(std::move(refusal));
    return;
  }
  // A job that is known already is never refused, whatever the repeat looks like.
  look_up(id, [this, id, respond, refusal](const Found& found) {
    answer_known(id, found, respond, refusal);
  });
}

void Frontend::accept(const JobSpec& job, const HttpCallback& respond) {
  wire::Txn txn;
  const std::string id = job.id;
  txn.conditions = {{store::live_key(id), 0}, {store::final_key(id), 0}};
  auto value = store::encode_live(job, runtime_.wall());
  if (wire::dump(value).size() > settings_.value_bytes) {
    respond(error_response(400, "the description is too long"));
    return;
  }
  txn.changes = {{store::live_key(id), std::move(value)}};
  store_.write(std::move(txn), store::Urgency::User,
               [this, id, respond](const store::WriteResult& r) {
                 if (r.outcome == store::WriteOutcome::Committed) {
                   respond({201, wire::encode_status(id, JobStage::Queued)});
                 } else if (r.outcome == store::WriteOutcome::NotDone) {
                   respond(store_unavailable_response());
                 } else {
                   // Known already, or the write may have been carried out: the store tells.
                   look_up(id, [this, id, respond](const Found& found) {
                     answer_known(id, found, respond, store_unavailable_response());
                   });
                 }
               });
}

void Frontend::cancel(const std::string& id, const HttpCallback& respond) {
  if (!wire::valid_job_id(id)) {
    respond(unknown_job_response());
    return;
  }
  cancel_once(id, kCancelTries, respond);
}

void Frontend::cancel_once(const std::string& id, int tries, const HttpCallback& respond) {
  look_up(id, [this, id, tries, respond](const Found& found) {
    if (found.outcome != Found::Outcome::Live) {
      if (found.outcome == Found::Outcome::Final && found.final.cancelled) tell_(id);
      answer_known(id, found, respond, unknown_job_response());
      return;
    }
    if (tries == 0) {
      respond(store_unavailable_response());
      return;
    }
    auto txn = store::make_end_job_txn(found.live.job, found.version, true, settings_.value_bytes,
                                       settings_.txn_ops);
    store_.write(std::move(txn), store::Urgency::User,
                 [this, id, tries, respond](const store::WriteResult& r) {
                   if (r.outcome == store::WriteOutcome::Committed) {
                     tell_(id);
                     respond({200, wire::encode_status(id, JobStage::Cancelled)});
                   } else if (r.outcome == store::WriteOutcome::NotDone) {
                     respond(store_unavailable_response());
                   } else {
                     cancel_once(id, tries - 1, respond);
                   }
                 });
  });
}

}  // namespace asterstair::frontend
