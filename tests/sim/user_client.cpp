#include "sim/user_client.hpp"

#include <cstdio>

namespace sim {

namespace {

constexpr auto kSubmitTimeout = 5s, kCancelTimeout = 5s, kQueryTimeout = 2s;
constexpr unsigned kInvalidJobOffset = 800000;  // keeps ids of invalid jobs apart from valid ones

std::string job_id(unsigned number) {
  char id[16];
  std::snprintf(id, sizeof id, "req-%06u", number);
  return id;
}

HttpRequest submission_of(const Json& body) { return {"POST", "/v2/runs", body.dump()}; }
HttpRequest cancellation_of(const std::string& id) {
  return {"POST", "/v2/runs/" + id + "/abort", ""};
}

void ignore(int /*status*/) {}

}  // namespace

UserClient::UserClient(Simulator& simulator, Network& network, RuleChecker& checker,
                       JobStates& jobs, std::vector<std::string> node_addresses)
    : simulator_(simulator),
      network_(network),
      checker_(checker),
      jobs_(jobs),
      node_addresses_(std::move(node_addresses)) {}

std::string UserClient::submit(Submission job) {
  auto id = job_id(++last_job_);
  job.complete_requirements();
  jobs_.workloads[id] = job.workload;
  submissions_[id] = job;
  checker_.on_submitted(id, job.requirements);
  send_until(id, submission_of(job.body(id)), Kind::Submit, [this, id](int status) {
    const bool accepted = status == 200 || status == 201;
    if (accepted) poll(id);
    return accepted;
  });
  return id;
}

void UserClient::resubmit(const std::string& id, const Json& body) {
  send(id, submission_of(body), kSubmitTimeout, Kind::Submit, ignore);
}

void UserClient::submit_invalid(Submission job, const std::function<void(Json&)>& make_invalid) {
  const auto id = job_id(kInvalidJobOffset + ++last_invalid_job_);
  job.requirements.valid = false;
  checker_.on_submitted(id, job.requirements);
  Json body = job.body(id);
  make_invalid(body);
  send(id, submission_of(body), kSubmitTimeout, Kind::Submit, ignore);
}

void UserClient::cancel(const std::string& id) {
  checker_.on_cancel_requested(id);
  send_until(id, cancellation_of(id), Kind::Cancel, [](int status) { return status == 200; });
}

void UserClient::cancel_through(const std::string& node_address, const std::string& id) {
  checker_.on_cancel_requested(id);
  network_.http("users", node_address, cancellation_of(id), kCancelTimeout,
                [this, id](const HttpResponse& response) {
                  const auto answer = Json::parse(response.body, nullptr, false);
                  checker_.on_answer(id, response.status,
                                     answer.is_object() ? answer.value("stage", "") : "", false,
                                     simulator_.elapsed());
                });
}

void UserClient::query(const std::string& id, std::function<void(int)> done) {
  send(id, {"GET", "/v2/runs/" + id, ""}, kQueryTimeout, Kind::Query, std::move(done));
}

std::vector<std::string> UserClient::job_ids() const {
  std::vector<std::string> ids;
  for (unsigned number = 1; number <= last_job_; ++number) ids.push_back(job_id(number));
  return ids;
}

/// Queries the job every few seconds, and a random number of times after it is final.
void UserClient::poll(const std::string& id) {
  simulator_.schedule(Seconds(simulator_.uniform(4, 6)), [this, id] {
    query(id, [this, id](int) {
      if (!checker_.is_final(id) || simulator_.chance(0.5)) poll(id);
    });
  });
}

/// Repeats the request until `succeeded` accepts its status or the status is a permanent rejection.
void UserClient::send_until(const std::string& id, const HttpRequest& request, Kind kind,
                            const std::function<bool(int)>& succeeded) {
  send(id, request, kSubmitTimeout, kind, [this, id, request, kind, succeeded](int status) {
    if (succeeded(status) || status == 400 || status == 422) return;
    simulator_.schedule(Seconds(simulator_.uniform(1, 2)), [this, id, request, kind, succeeded] {
      send_until(id, request, kind, succeeded);
    });
  });
}

void UserClient::send(const std::string& id, HttpRequest request, Duration timeout, Kind kind,
                      std::function<void(int)> done) {
  if (kind == Kind::Query) checker_.on_query(id);
  network_.http("users", random_node(), std::move(request), timeout,
                [this, id, kind, asked = simulator_.elapsed(),
                 done = std::move(done)](const HttpResponse& response) {
                  const auto answer = Json::parse(response.body, nullptr, false);
                  const bool has_stage = answer.is_object() && answer.contains("stage");
                  checker_.on_answer(id, response.status,
                                     has_stage ? answer["stage"].get<std::string>() : "",
                                     kind == Kind::Submit, asked);
                  done(response.status);
                });
}

const std::string& UserClient::random_node() {
  const auto count = static_cast<double>(node_addresses_.size());
  return node_addresses_[static_cast<std::size_t>(simulator_.uniform(0, count - 0.001))];
}

}  // namespace sim
