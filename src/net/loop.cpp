#include "net/loop.hpp"

#include <algorithm>
#include <random>
#include <stdexcept>
#include <utility>

namespace asterstair::net {

struct LoopRuntime::Timer {
  uv_timer_t handle{};
  LoopRuntime* owner = nullptr;
  TimerId id = 0;
  std::function<void()> action;
};

namespace {

// The HTTP client may open the node's maximum number of connections divided by this. The HTTP
// server has its own share; see app/serve.cpp.
constexpr std::size_t kClientConnectionsDivisor = 8;

uv_loop_t* init_loop(uv_loop_t* loop) {
  const int error = uv_loop_init(loop);
  if (error != 0) throw std::runtime_error(uv_strerror(error));
  return loop;
}

std::uint64_t random_seed() {
  std::random_device device;
  return (static_cast<std::uint64_t>(device()) << 32U) ^ device();
}

}  // namespace

LoopRuntime::LoopRuntime(const Settings& settings)
    : rng_(random_seed()),
      client_(init_loop(&loop_), settings.max_connections / kClientConnectionsDivisor),
      peers_(&loop_, settings) {}

LoopRuntime::~LoopRuntime() =
    default;  // the loop is never closed; the process runs until it is killed

TimerId LoopRuntime::after(Duration delay, std::function<void()> action) {
  auto* timer = new Timer;
  timer->owner = this;
  timer->id = next_timer_++;
  timer->action = std::move(action);
  timer->handle.data = timer;
  uv_timer_init(&loop_, &timer->handle);
  timers_[timer->id] = timer;
  const auto delay_ms = std::chrono::ceil<milliseconds>(std::max(delay, Duration::zero())).count();
  uv_update_time(&loop_);
  const auto expired = [](uv_timer_t* handle) {
    auto* expired_timer = static_cast<Timer*>(handle->data);
    expired_timer->owner->on_expired(expired_timer);
  };
  uv_timer_start(&timer->handle, expired, static_cast<std::uint64_t>(delay_ms), 0);
  return timer->id;
}

// Removes the timer before its action runs, because the action may start or cancel timers.
void LoopRuntime::on_expired(Timer* timer) {
  timers_.erase(timer->id);
  const auto action = std::move(timer->action);
  close(timer);
  action();
}

void LoopRuntime::cancel(TimerId id) {
  const auto it = timers_.find(id);
  if (it == timers_.end()) return;
  Timer* timer = it->second;
  timers_.erase(it);
  timer->action = nullptr;  // frees the captured state now instead of when the handle has closed
  close(timer);
}

void LoopRuntime::close(Timer* timer) {
  uv_close(reinterpret_cast<uv_handle_t*>(&timer->handle),
           [](uv_handle_t* handle) { delete static_cast<Timer*>(handle->data); });
}

void LoopRuntime::http(const std::string& address, HttpRequest request, Duration timeout,
                       HttpCallback done) {
  client_.send(address, std::move(request), timeout, std::move(done));
}

void LoopRuntime::send_peer(const std::string& node, std::string message) {
  peers_.send(node, message);
}

}  // namespace asterstair::net
