#pragma once
/// @file
/// What the core logic needs from outside: time, timers, random numbers and the network.

#include <cstdint>
#include <functional>
#include <optional>
#include <random>
#include <string>
#include <string_view>

#include "base/time.hpp"

namespace asterstair {

/// HTTP request.
struct HttpRequest {
  std::string method;
  /// Path and query.
  std::string target;
  std::string body;
};

/// HTTP answer.
struct HttpResponse {
  /// Status code; http_status::kNoAnswer (0) if no answer came, when the request may or may not
  /// have been carried out.
  int status = 0;
  std::string body;
  /// Value of the header Retry-After; none: no such header.
  std::optional<std::chrono::seconds> retry_after{};
};

/// Receives the answer to a request.
using HttpCallback = std::function<void(HttpResponse)>;
/// Names a timer that may be cancelled.
using TimerId = std::uint64_t;
/// Generator of all random numbers, so that a run can be replayed from its seed.
using Rng = std::mt19937_64;

/// Interface to the outside world. The program implements it on libuv (package net), the tests with
/// simulated time, so that every run can be replayed from its seed.
///
/// It is single-threaded: all calls and callbacks are on one loop. Callbacks run later than the
/// call that asked for them.
class Runtime {
 public:
  virtual ~Runtime() = default;

  /// Returns the steady time.
  virtual TimePoint now() const = 0;

  /// Returns the wall time.
  virtual WallTime wall() const = 0;

  /// Returns the generator of random numbers.
  virtual Rng& rng() = 0;

  /// Runs `action` once after `delay`, unless the timer is cancelled.
  virtual TimerId after(Duration delay, std::function<void()> action) = 0;

  /// Cancels a timer. Does nothing if it has run or was cancelled.
  virtual void cancel(TimerId id) = 0;

  /// Sends one request. `done` runs exactly once, with http_status::kNoAnswer after `timeout`.
  virtual void http(const std::string& address, HttpRequest request, Duration timeout,
                    HttpCallback done) = 0;

  /// Sends a gossip message to a peer. The message may be lost.
  virtual void send_peer(const std::string& node, std::string message) = 0;
};

}  // namespace asterstair
