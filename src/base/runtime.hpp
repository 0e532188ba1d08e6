#pragma once
/// @file
/// Interface of the core logic to its environment: time, timers, random numbers and the network.

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

/// HTTP response.
struct HttpResponse {
  /// Status code; http_status::kNoAnswer (0) if no response arrived. The request may then have
  /// taken effect or not.
  int status = 0;
  std::string body;
  /// Value of the header Retry-After; absent without that header.
  std::optional<std::chrono::seconds> retry_after{};
};

/// Receives the response to a request.
using HttpCallback = std::function<void(HttpResponse)>;
/// Identifies a timer, for cancellation.
using TimerId = std::uint64_t;
/// Random number generator. All random numbers come from one generator, so that a run can be
/// replayed from its seed.
using Rng = std::mt19937_64;

/// Interface to the environment. The program implements it on libuv (package net). The tests
/// implement it with simulated time, so that every run can be replayed from its seed.
///
/// It is single-threaded: all calls and callbacks run on one event loop. A callback never runs
/// inside the call that requested it.
class Runtime {
 public:
  virtual ~Runtime() = default;

  /// Returns the current steady time.
  virtual TimePoint now() const = 0;

  /// Returns the current wall time.
  virtual WallTime wall() const = 0;

  /// Returns the random number generator.
  virtual Rng& rng() = 0;

  /// Runs `action` once after `delay`, unless the timer is cancelled. Returns the timer's id.
  virtual TimerId after(Duration delay, std::function<void()> action) = 0;

  /// Cancels a timer. Does nothing if it has expired or was cancelled before.
  virtual void cancel(TimerId id) = 0;

  /// Sends one request. Calls `done` exactly once, with the response or, at the latest after
  /// `timeout`, with http_status::kNoAnswer.
  virtual void http(const std::string& address, HttpRequest request, Duration timeout,
                    HttpCallback done) = 0;

  /// Sends a gossip message to a peer. The message may be lost.
  virtual void send_peer(const std::string& node, std::string message) = 0;
};

}  // namespace asterstair
