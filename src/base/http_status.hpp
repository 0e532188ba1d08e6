#pragma once
/// @file
/// HTTP status codes that the program interprets. Any package that sends or handles requests may
/// use them.

namespace asterstair::http_status {

/// Not an HTTP code: the runtime reports it when no response arrived. The request may or may not
/// have taken effect.
inline constexpr int kNoAnswer = 0;
inline constexpr int kOk = 200;
inline constexpr int kBadRequest = 400;
inline constexpr int kNotFound = 404;
inline constexpr int kConflict = 409;
inline constexpr int kGone = 410;
/// The service is available, but the sender exceeds its rate limit.
inline constexpr int kTooManyRequests = 429;
inline constexpr int kServiceUnavailable = 503;

}  // namespace asterstair::http_status
