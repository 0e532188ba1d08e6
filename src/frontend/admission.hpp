#pragma once
/// @file
/// Decides whether a submitted job is admitted.

#include <optional>
#include <string>

#include "base/model.hpp"
#include "base/runtime.hpp"
#include "base/settings.hpp"
#include "cloud/catalog.hpp"

namespace asterstair::frontend {

/// What becomes of a submission, as far as its own content and this node's knowledge tell.
struct AdmissionDecision {
  /// The job, decoded. Valid only if `refusal` is empty.
  JobSpec job;
  /// The answer to a submission that is refused: 400 for a malformed one, 422 for a job that can
  /// never run here, 503 while the machine types are unknown. Empty: the job is admitted.
  std::optional<HttpResponse> refusal;
  /// The id that the submission names; empty if there is no valid one.
  std::string id;
};

/// Validates the body of a submission against the settings and the catalog. Sends nothing.
AdmissionDecision decide_admission(const std::string& body, const Settings& settings,
                                   const cloud::Catalog& catalog);

}  // namespace asterstair::frontend
