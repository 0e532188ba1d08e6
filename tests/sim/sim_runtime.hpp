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

/// Runtime of one simulated process: its clocks drift and are off, its messages go over the
/// simulated network, and it can be frozen. Destroying it ends the process.
class SimRuntime : public Runtime {
 public:
  /// Sends a gossip message to the named node.
  using SendPeer = std::function<void(const std::string& node, std::string message)>;

  SimRuntime(Simulator& simulator, Network& network, std::string host, SendPeer send_peer);

  TimePoint now() const override;
  WallTime wall() const override;
  Rng& rng() override { return rng_; }
  TimerId after(Duration delay, std::function<void()> action) override;
  void cancel(TimerId id) override { timers_.erase(id); }
  void http(const std::string& address, HttpRequest request, Duration timeout,
            HttpCallback done) override;
  void send_peer(const std::string& node, std::string message) override;

  /// From now on the steady clock runs at this speed; 1 is true.
  void set_clock_speed(double speed);
  /// Stops the process for `seconds`. Afterwards it goes on with all messages and timers that have
  /// come meanwhile.
  void freeze(double seconds);
  /// Runs the action now, or once the process goes on.
  void when_awake(std::function<void()> action);

  std::uint64_t timer_allocations = 0;  ///< allocations by actions of timers

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
  std::shared_ptr<int> alive_ = std::make_shared<int>(0);  // callbacks hold it weakly
};

}  // namespace sim
