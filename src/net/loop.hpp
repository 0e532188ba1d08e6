#pragma once
/// @file
/// The program's Runtime on libuv: event loop, timers and sockets. The tests use a simulated
/// Runtime.

#include <uv.h>

#include <functional>
#include <string>
#include <unordered_map>

#include "base/runtime.hpp"
#include "base/settings.hpp"
#include "net/http_client.hpp"
#include "net/peer_link.hpp"

namespace asterstair::net {

/// Owns the event loop, its timers, the HTTP client and the links to peers. The program creates
/// one. All calls and callbacks run on the thread that calls run(). The object must live until the
/// process ends, because the loop is never closed.
class LoopRuntime : public Runtime {
 public:
  /// Throws std::runtime_error if the loop cannot be initialized.
  explicit LoopRuntime(const Settings& settings);
  ~LoopRuntime() override;

  /// Returns the current steady time.
  TimePoint now() const override { return Clock::now(); }

  /// Returns the current wall time.
  WallTime wall() const override { return std::chrono::system_clock::now(); }

  /// Returns the random number generator, seeded by the operating system.
  Rng& rng() override { return rng_; }

  /// Runs the action once after the delay, which is rounded up to whole milliseconds. Returns an id
  /// for cancel().
  TimerId after(Duration delay, std::function<void()> action) override;

  /// Cancels a timer. Does nothing if it has expired or was cancelled before.
  void cancel(TimerId id) override;

  /// Sends a request; see HttpClient::send().
  void http(const std::string& address, HttpRequest request, Duration timeout,
            HttpCallback done) override;

  /// Sends a gossip message; see PeerLink::send().
  void send_peer(const std::string& node, std::string message) override;

  /// Returns the event loop, for the HTTP server.
  uv_loop_t* loop() { return &loop_; }

  /// Returns the links to the peers.
  PeerLink& peers() { return peers_; }

  /// Runs the loop until it is stopped or has no active handles or requests.
  void run() { uv_run(&loop_, UV_RUN_DEFAULT); }

 private:
  struct Timer;

  void on_expired(Timer* timer);
  static void close(Timer* timer);

  uv_loop_t loop_{};
  Rng rng_;
  TimerId next_timer_ = 1;
  std::unordered_map<TimerId, Timer*> timers_;
  HttpClient client_;
  PeerLink peers_;
};

}  // namespace asterstair::net
