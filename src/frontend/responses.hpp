#pragma once
/// @file
/// Responses that several handlers give.

#include <string_view>

#include "base/runtime.hpp"

namespace asterstair::frontend {

/// An HTTP response with this status whose body carries `message` as its error text.
HttpResponse error_response(int status, std::string_view message);

/// The same with status 503 and `Retry-After`: the client is to repeat its request.
HttpResponse retry_later_response(std::string_view message);

/// 503 with `Retry-After`: the state service does not answer, so nothing is known or accepted.
HttpResponse store_unavailable_response();

/// 404: no job has this id.
HttpResponse unknown_job_response();

}  // namespace asterstair::frontend
