#pragma once
/// @file
/// Admission control: decides whether a submitted job is accepted.

#include <optional>
#include <string>

#include "base/model.hpp"
#include "base/runtime.hpp"
#include "base/settings.hpp"
#include "cloud/catalog.hpp"

namespace asterstair::frontend {

/// Result of admission control, which depends only on the submission, the settings and the catalog.
struct AdmissionDecision {
  /// The decoded job. Valid only if `rejection` is empty.
  JobSpec job;
  /// The response to a rejected submission: 400 if it is malformed, 422 if the job can never run in
  /// this cluster, 503 while the machine types are unknown. Empty: the job is admitted.
  std::optional<HttpResponse> rejection;
  /// The job ID in the submission; empty if it contains no valid ID.
  std::string id;
};

/// Validates the body of a submission against the settings and the catalog. Does no I/O.
AdmissionDecision decide_admission(const std::string& body, const Settings& settings,
                                   const cloud::Catalog& catalog);

}  // namespace asterstair::frontend
