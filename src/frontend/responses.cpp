#include "frontend/responses.hpp"

#include "wire/user.hpp"

namespace asterstair::frontend {
namespace {

// Value of Retry-After. Users wait at least this long between polls in any case.
constexpr std::chrono::seconds kRetryAfter{1};

}  // namespace

HttpResponse error_response(int status, std::string_view message) {
  return {status, wire::encode_error(message)};
}

HttpResponse retry_later_response(std::string_view message) {
  auto response = error_response(503, message);
  response.retry_after = kRetryAfter;
  return response;
}

HttpResponse store_unavailable_response() {
  return retry_later_response("the state service does not answer");
}

HttpResponse unknown_job_response() { return error_response(404, "no such job"); }

}  // namespace asterstair::frontend
