#pragma once
/// @file
/// The users' interface: submissions, questions and cancellations.

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

/// How many tasks of a job are done and running, for display.
struct Counts {
  /// Tasks that are done.
  std::uint32_t done = 0;
  /// Tasks that are running.
  std::uint32_t running = 0;
};
/// Counts of jobs, by their ids.
using CountsByJob = std::unordered_map<std::string, Counts>;

/// The users' interface, on every node: submission, status and cancellation of jobs.
///
/// It keeps no state that matters. Every answer about a job comes from the state service, whether
/// this node leads or not and whether there is a leader or not. Nothing is confirmed before it is
/// durable. Owned by Node, called by RequestRouter. Each `respond` is called exactly once, now or
/// when the state service has answered or timed out.
class Frontend {
 public:
  /// Called for each cancellation before its user is answered.
  using OnCancelled = std::function<void(const std::string& job)>;

  /// All references have to outlive the frontend.
  Frontend(Runtime& runtime, store::Store& store, const Settings& settings,
           const cloud::Catalog& catalog, OnCancelled on_cancelled);

  /// Accepts the job that `body` describes. 201: it is accepted. 200: it was known already, with
  /// its status. 400, 422: it is refused. 503: to be repeated.
  void submit(const std::string& body, const HttpCallback& respond);
  /// Answers with the job's status. 200, 404 or 503.
  void status(const std::string& id, const HttpCallback& respond);
  /// Cancels the job. 200 with its status, which shows how the job ended. 404 or 503.
  void cancel(const std::string& id, const HttpCallback& respond);

  /// Replaces the counts. They come from the leader's term, here or by gossip, once a second.
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
