#pragma once
// The real Runtime: libuv's loop, timers and sockets.

#include <uv.h>

#include <memory>
#include <unordered_map>

#include "base/runtime.hpp"
#include "base/settings.hpp"
#include "net/http_client.hpp"
#include "net/peer_link.hpp"

namespace asterstair::net {

class LoopRuntime : public Runtime {
 public:
  explicit LoopRuntime(const Settings& settings);
  ~LoopRuntime() override;

  TimePoint now() const override { return Clock::now(); }
  WallTime wall() const override { return std::chrono::system_clock::now(); }
  Rng& rng() override { return rng_; }
  TimerId after(Duration delay, std::function<void()> action) override;
  void cancel(TimerId id) override;
  void http(const std::string& address, HttpRequest request, Duration timeout,
            HttpCallback done) override;
  void send_peer(const std::string& node, std::string message) override;

  uv_loop_t* loop() { return &loop_; }
  PeerLink& peers() { return peers_; }
  void run() { uv_run(&loop_, UV_RUN_DEFAULT); }

 private:
  struct Timer;

  uv_loop_t loop_{};
  Rng rng_;
  TimerId next_timer_ = 1;
  std::unordered_map<TimerId, Timer*> timers_;
  HttpClient client_;
  PeerLink peers_;
};

}  // namespace asterstair::net
