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

/// Simulated users: they submit, query and cancel jobs at random nodes, repeat what gets no answer,
/// and tell the rule checker every answer. They are on host "users".
class UserClient {
 public:
  UserClient(Simulator& simulator, Network& network, RuleChecker& checker, JobStates& jobs,
             std::vector<std::string> node_addresses);

  /// Submits a job, repeats it until it is accepted or refused, and polls it afterwards. Returns
  /// the job's id.
  std::string submit(Submission job);
  /// Submits an accepted job once more, as users do who are not sure, perhaps in another form.
  void resubmit(const std::string& id, const Json& body);
  /// Submits, once, a job that `spoil` makes one that must not be accepted.
  void submit_invalid(Submission job, const std::function<void(Json&)>& spoil);
  /// Cancels a job and repeats that until it is answered.
  void cancel(const std::string& id);
  /// Cancels a job once, through this node.
  void cancel_through(const std::string& node_address, const std::string& id);
  /// Asks for a job once. `done` gets the status.
  void query(
      const std::string& id, std::function<void(int)> done = [](int) {});

  /// The ids of all jobs that submit() has sent, in their order.
  std::vector<std::string> job_ids() const;
  /// What was submitted under each of them.
  const std::map<std::string, Submission>& submissions() const { return submissions_; }

 private:
  /// What a request is, for the rule checker.
  enum class Kind { Submit, Query, Cancel };

  void poll(const std::string& id);
  void send_until(const std::string& id, const HttpRequest& request, Kind kind,
                  const std::function<bool(int)>& enough);
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
