#include "sim/sim_runtime.hpp"

#include <algorithm>

#include "sim/allocations.hpp"

namespace sim {

namespace {

constexpr double kWallTimeOrigin = 1.7e9;  // s of Unix time where the simulator's clock is zero

}  // namespace

SimRuntime::SimRuntime(Simulator& simulator, Network& network, std::string host, SendPeer send_peer)
    : simulator_(simulator),
      network_(network),
      host_(std::move(host)),
      rng_(simulator.next_random()),
      send_peer_(std::move(send_peer)),
      clock_speed_(simulator.uniform(0.9995, 1.0005)),
      wall_offset_(simulator.uniform(-0.5, 0.5)) {}

TimePoint SimRuntime::now() const {
  const double true_time = seconds(simulator_.now().time_since_epoch());
  return TimePoint(to_duration(Seconds(true_time * clock_speed_ + steady_offset_)));
}

WallTime SimRuntime::wall() const {
  return WallTime(std::chrono::duration_cast<WallTime::duration>(
      Seconds(kWallTimeOrigin + seconds(simulator_.now().time_since_epoch()) + wall_offset_)));
}

TimerId SimRuntime::after(Duration delay, std::function<void()> action) {
  const auto id = ++last_timer_;
  timers_.insert(id);
  simulator_.schedule(delay,
                      [this, alive = std::weak_ptr<int>(alive_), id, action = std::move(action)] {
                        if (alive.expired()) return;
                        run_when_resumed([this, id, action] {
                          if (timers_.erase(id) == 0) return;
                          const auto before = allocations();
                          action();
                          timer_allocations += allocations().since(before).count;
                        });
                      });
  return id;
}

void SimRuntime::http(const std::string& address, HttpRequest request, Duration timeout,
                      HttpCallback done) {
  network_.http(
      host_, address, std::move(request), timeout,
      [this, alive = std::weak_ptr<int>(alive_), done = std::move(done)](HttpResponse response) {
        if (alive.expired()) return;
        run_when_resumed([done, response = std::move(response)] { done(response); });
      });
}

void SimRuntime::send_peer(const std::string& node, std::string message) {
  send_peer_(node, std::move(message));
}

void SimRuntime::set_clock_speed(double speed) {
  steady_offset_ += (clock_speed_ - speed) * seconds(simulator_.now().time_since_epoch());
  clock_speed_ = speed;
}

void SimRuntime::freeze(double seconds) {
  frozen_until_ = std::max(frozen_until_, simulator_.elapsed() + seconds);
}

void SimRuntime::run_when_resumed(std::function<void()> action) {
  if (simulator_.elapsed() >= frozen_until_) {
    action();
    return;
  }
  simulator_.schedule(Seconds(frozen_until_ - simulator_.elapsed() + 0.001),
                      [this, alive = std::weak_ptr<int>(alive_), action = std::move(action)] {
                        if (!alive.expired()) run_when_resumed(action);
                      });
}

}  // namespace sim
