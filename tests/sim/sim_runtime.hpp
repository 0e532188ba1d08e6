#pragma once
// The library's runtime on simulated time.

#include <cstdint>
#include <functional>
#include <memory>
#include <set>
#include <string>

#include "base/runtime.hpp"
#include "sim/network.hpp"
#include "sim/simulator.hpp"

namespace sim {

/// Runtime of one simulated process. Its steady clock drifts, its wall clock is off by up to 0.5 s,
/// its messages go over the simulated network, and it can be frozen. Destroying it ends the
/// process.
class SimRuntime : public Runtime {
 public:
  /// Sends a gossip message to the named node.
  using SendPeer = std::function<void(const std::string& node, std::string message)>;

  /// Creates the runtime of a process on `host`.
  SimRuntime(Simulator& simulator, Network& network, std::string host, SendPeer send_peer);

  TimePoint now() const override;
  WallTime wall() const override;
  Rng& rng() override { return rng_; }
  TimerId after(Duration delay, std::function<void()> action) override;
  void cancel(TimerId id) override { timers_.erase(id); }
  void http(const std::string& address, HttpRequest request, Duration timeout,
            HttpCallback done) override;
  void send_peer(const std::string& node, std::string message) override;

  /// Sets the speed of the steady clock from now on; 1 is exact.
  void set_clock_speed(double speed);
  /// Pauses the process for `seconds`. When it resumes, it handles all messages and timers that
  /// came due meanwhile.
  void freeze(double seconds);
  /// Runs the action now, or when the process resumes if it is frozen.
  void run_when_resumed(std::function<void()> action);

  std::uint64_t timer_allocations = 0;  ///< allocations by timer actions

 private:
  Simulator& simulator_;
  Network& network_;
  std::string host_;
  Rng rng_;
  SendPeer send_peer_;
  double clock_speed_, wall_offset_, steady_offset_ = 0;
  double frozen_until_ = 0;
  TimerId last_timer_ = 0;
  std::set<TimerId> timers_;
  // Callbacks hold a weak pointer to it and do nothing once the runtime is destroyed.
  std::shared_ptr<int> alive_ = std::make_shared<int>(0);
};

}  // namespace sim
