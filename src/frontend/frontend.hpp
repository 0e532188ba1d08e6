#pragma once
/// @file
/// Handles users' requests: submission, status and cancellation of jobs.

#include <cstdint>
#include <functional>
#include <string>
#include <unordered_map>

#include "base/runtime.hpp"
#include "base/settings.hpp"
#include "cloud/catalog.hpp"
#include "frontend/canceller.hpp"
#include "frontend/job_lookup.hpp"
#include "store/store.hpp"

namespace asterstair::frontend {

/// Numbers of completed and running tasks of a job, reported to users.
struct Counts {
  /// Number of completed tasks.
  std::uint32_t done = 0;
  /// Number of running tasks.
  std::uint32_t running = 0;
};
/// Task counts of jobs, by job ID.
using CountsByJob = std::unordered_map<std::string, Counts>;

/// Handles users' requests on every node: submission, status and cancellation of jobs.
///
/// Keeps no authoritative state: every response about a job is based on the state service, whether
/// or not this node leads and whether or not a leader exists. Confirms a change only once it is
/// durable. Owned by Node, called by RequestRouter. Calls each `respond` exactly once, either
/// immediately or when the state service has responded or timed out.
class Frontend {
 public:
  /// Called for each cancellation before the response to the user is sent.
  using OnCancelled = std::function<void(const std::string& job)>;

  /// All references must outlive the frontend.
  Frontend(Runtime& runtime, store::Store& store, const Settings& settings,
           const cloud::Catalog& catalog, OnCancelled on_cancelled);

  /// Submits the job that `body` describes. Responds 201 if the job is accepted, 200 with its
  /// status if it already exists, 400 or 422 if it is rejected, and 503 if the user must retry.
  void submit(const std::string& body, const HttpCallback& respond);
  /// Responds with the job's status: 200, 404 or 503.
  void status(const std::string& id, const HttpCallback& respond);
  /// Cancels the job. Responds 200 with its status, which shows how the job ended, or 404 or 503.
  void cancel(const std::string& id, const HttpCallback& respond);

  /// Replaces the task counts. The leader's term provides them once a second, on this node or by
  /// gossip.
  void set_counts(CountsByJob counts) { counts_ = std::move(counts); }

 private:
  void accept(const JobSpec& job, const HttpCallback& respond);
  void respond_with_state(const std::string& id, const HttpCallback& respond,
                          HttpResponse if_absent);
  HttpResponse state_response(const std::string& id, const JobState& state,
                              HttpResponse if_absent) const;
  HttpResponse live_response(const std::string& id) const;

  Runtime& runtime_;
  store::Store& store_;
  const Settings& settings_;
  const cloud::Catalog& catalog_;
  OnCancelled on_cancelled_;
  JobLookup jobs_;
  Canceller canceller_;
  CountsByJob counts_;
};

}  // namespace asterstair::frontend
