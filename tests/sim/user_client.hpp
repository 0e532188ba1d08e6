#pragma once
// Simulated users.

#include <functional>
#include <map>
#include <string>
#include <vector>

#include "sim/job_states.hpp"
#include "sim/json.hpp"
#include "sim/network.hpp"
#include "sim/rule_checker.hpp"
#include "sim/simulator.hpp"
#include "sim/submission.hpp"

namespace sim {

/// Simulated users. They submit, query and cancel jobs through random nodes, retry requests that
/// fail, and report every answer to the rule checker. They are on host "users".
class UserClient {
 public:
  /// Users send their requests to these nodes.
  UserClient(Simulator& simulator, Network& network, RuleChecker& checker, JobStates& jobs,
             std::vector<std::string> node_addresses);

  /// Submits a job, retries until it is accepted or rejected, and polls it afterwards. Returns the
  /// job's id.
  std::string submit(Submission job);
  /// Submits an accepted job again, like a user who missed the answer; `body` may differ.
  void resubmit(const std::string& id, const Json& body);
  /// Submits a job once, after `make_invalid` has altered it so that it must be rejected.
  void submit_invalid(Submission job, const std::function<void(Json&)>& make_invalid);
  /// Cancels a job and retries until the cancellation is confirmed or rejected.
  void cancel(const std::string& id);
  /// Cancels a job once, through the node at this address.
  void cancel_through(const std::string& node_address, const std::string& id);
  /// Queries a job once. `done` receives the status.
  void query(
      const std::string& id, std::function<void(int)> done = [](int) {});

  /// The ids of all jobs passed to submit(), in the order of submission.
  std::vector<std::string> job_ids() const;
  /// The submissions by job id.
  const std::map<std::string, Submission>& submissions() const { return submissions_; }

 private:
  /// The kind of a request.
  enum class Kind { Submit, Query, Cancel };

  void poll(const std::string& id);
  void send_until(const std::string& id, const HttpRequest& request, Kind kind,
                  const std::function<bool(int)>& succeeded);
  void send(const std::string& id, HttpRequest request, Duration timeout, Kind kind,
            std::function<void(int)> done);
  const std::string& random_node();

  Simulator& simulator_;
  Network& network_;
  RuleChecker& checker_;
  JobStates& jobs_;
  std::vector<std::string> node_addresses_;
  unsigned last_job_ = 0, last_invalid_job_ = 0;
  std::map<std::string, Submission> submissions_;
};

}  // namespace sim
