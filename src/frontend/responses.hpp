#pragma once
/// @file
/// HTTP responses that several handlers share.

#include <string_view>

#include "base/runtime.hpp"

namespace asterstair::frontend {

/// Returns a response with the given status and an error text in its body.
HttpResponse error_response(int status, std::string_view message);

/// Returns an error response with status 503 and `Retry-After`, which asks the client to retry.
HttpResponse retry_later_response(std::string_view message);

/// Returns a 503 response with `Retry-After` for requests that failed because the state service
/// does not respond. Nothing can be reported or accepted without it.
HttpResponse store_unavailable_response();

/// Returns a 404 response: no job has the requested ID.
HttpResponse unknown_job_response();

}  // namespace asterstair::frontend
